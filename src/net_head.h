#ifndef SHALLOTFORD_SRC_NET_HEAD_H
#define SHALLOTFORD_SRC_NET_HEAD_H

/// Checks the raw bytes of a request's head before libwebsockets reads them.
///
/// libwebsockets 4.1.6 accepts folded lines, bare line feeds, spaces around
/// names and any line without a colon, and shows none of it afterwards; a
/// header whose name is the start of a known one even swallows the next line.
/// Each of these can hide a second request from one of two readers.

#include "shallotford/net.h"

namespace shallotford {

/// Checks the head at the start of aBytes.
/// @param aMaxBytes  longest head that is accepted
/// @return the head's length, or nullopt if its end has not arrived yet
/// @throws Error (InvalidRequest, TooLarge) if it cannot become a valid head
std::optional<std::size_t>
CheckHead(std::string_view aBytes, std::size_t aMaxBytes);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_NET_HEAD_H
