/// TLS settings of libwebsockets vhosts.

#include "net_tls.h"

namespace shallotford {

void
ApplyServerTls(lws_context_creation_info& aInfo, const TlsFiles& aFiles)
{
  if (aFiles.m_certificate.empty()) {
    return;
  }
  aInfo.options |= LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
  aInfo.ssl_cert_filepath = aFiles.m_certificate.c_str();
  aInfo.ssl_private_key_filepath = aFiles.m_key.c_str();
  if (!aFiles.m_peerAuthority.empty()) {
    aInfo.options |= LWS_SERVER_OPTION_REQUIRE_VALID_OPENSSL_CLIENT_CERT;
    aInfo.ssl_ca_filepath = aFiles.m_peerAuthority.c_str();
  }
}

} // namespace shallotford
