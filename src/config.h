#ifndef SHALLOTFORD_SRC_CONFIG_H
#define SHALLOTFORD_SRC_CONFIG_H

/// Constants of the whole program, by family, with their units.

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace shallotford {

using namespace std::chrono_literals;

// base
constexpr std::size_t kMaxJsonDepth = 64;

// net
constexpr std::size_t kMaxEventBytes = 1u << 20;

// engines
constexpr std::uint32_t kKvPieceTokens = 2'000;

// ledger
constexpr std::chrono::milliseconds kExportLifetime = 900ms;
constexpr std::chrono::milliseconds kGoneStreamBound = 5'000ms;

// fleet
/// The revision fills the upper half of a fencing number.
constexpr std::uint64_t kMaxRevision = 0xffff'ffffu;
constexpr std::size_t kKeyHashHex = 64;

// control
constexpr std::chrono::milliseconds kLeavingBound = 3'000ms;
constexpr std::size_t kMaxFleetTextBytes = 1u << 20;

} // namespace shallotford

#endif // SHALLOTFORD_SRC_CONFIG_H
