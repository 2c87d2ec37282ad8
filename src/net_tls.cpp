/// TLS of libwebsockets vhosts.

#include "net_tls.h"

#include <openssl/ssl.h>
#include <openssl/x509v3.h>

namespace shallotford {

namespace {

using ContextPtr = std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)>;

bool
UseCertificate(SSL_CTX* aContext, const TlsFiles& aFiles)
{
  if (aFiles.m_certificate.empty()) {
    return true;
  }
  const char* certificate = aFiles.m_certificate.c_str();
  return SSL_CTX_use_certificate_chain_file(aContext, certificate) == 1 &&
         SSL_CTX_use_PrivateKey_file(
           aContext, aFiles.m_key.c_str(), SSL_FILETYPE_PEM) == 1 &&
         SSL_CTX_check_private_key(aContext) == 1;
}

bool
UseAuthority(SSL_CTX* aContext, const TlsFiles& aFiles)
{
  if (aFiles.m_peerAuthority.empty()) {
    return true;
  }
  // A new store, so that an authority that is gone is trusted no more.
  X509_STORE* store = X509_STORE_new();
  bool loaded = X509_STORE_load_locations(
                  store, aFiles.m_peerAuthority.c_str(), nullptr) == 1;
  if (loaded) {
    SSL_CTX_set_cert_store(aContext, store);
  } else {
    X509_STORE_free(store);
  }
  return loaded;
}

} // namespace

void
ApplyServerTls(lws_context_creation_info& aInfo, const TlsFiles& aFiles)
{
  if (!aFiles.IsSet()) {
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

void
ApplyClientTls(lws_context_creation_info& aInfo, const TlsFiles& aFiles)
{
  aInfo.options |= LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT |
                   LWS_SERVER_OPTION_DISABLE_OS_CA_CERTS;
  aInfo.client_ssl_ca_filepath = aFiles.m_peerAuthority.c_str();
  if (!aFiles.m_certificate.empty()) {
    aInfo.client_ssl_cert_filepath = aFiles.m_certificate.c_str();
    aInfo.client_ssl_private_key_filepath = aFiles.m_key.c_str();
  }
}

void
ReloadTls(ssl_ctx_st* aContext, const TlsFiles& aFiles)
{
  ContextPtr trial(SSL_CTX_new(TLS_method()), SSL_CTX_free);
  bool usable = trial != nullptr && UseCertificate(trial.get(), aFiles) &&
                UseAuthority(trial.get(), aFiles);
  if (!usable || !UseCertificate(aContext, aFiles) ||
      !UseAuthority(aContext, aFiles)) {
    throw Error(ErrorKind::InvalidConfig,
                "the certificate files of \"" + aFiles.m_certificate +
                  "\" cannot be used",
                "Put a PEM chain, its key and the authorities in place, then "
                "reload; the earlier ones stay in use until then.");
  }
}

int
VerifyPeer(void* aStore, bool aPassed, const std::string& aAddress)
{
  auto* store = static_cast<X509_STORE_CTX*>(aStore);
  if (!aPassed) {
    return 1;
  }
  bool isPeer = X509_STORE_CTX_get_error_depth(store) == 0;
  if (!isPeer || aAddress.empty()) {
    return 0;
  }
  X509* certificate = X509_STORE_CTX_get_current_cert(store);
  if (X509_check_ip_asc(certificate, aAddress.c_str(), 0) == 1) {
    return 0;
  }
  X509_STORE_CTX_set_error(store, X509_V_ERR_IP_ADDRESS_MISMATCH);
  return 1;
}

std::optional<std::string>
VerifiedPeerName(lws* aWsi)
{
  SSL* ssl = lws_get_ssl(aWsi);
  if (ssl == nullptr || SSL_get_verify_result(ssl) != X509_V_OK) {
    return std::nullopt;
  }
  X509* certificate = SSL_get0_peer_certificate(ssl);
  if (certificate == nullptr) {
    return std::nullopt;
  }
  char name[256] = "";
  X509_NAME_get_text_by_NID(
    X509_get_subject_name(certificate), NID_commonName, name, sizeof name);
  return name;
}

bool
HasCloseNotification(lws* aWsi)
{
  SSL* ssl = lws_get_ssl(aWsi);
  return ssl != nullptr && (SSL_get_shutdown(ssl) & SSL_RECEIVED_SHUTDOWN) != 0;
}

} // namespace shallotford
