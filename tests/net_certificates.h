#ifndef SHALLOTFORD_TESTS_NET_CERTIFICATES_H
#define SHALLOTFORD_TESTS_NET_CERTIFICATES_H

/// Certificates made for one test in a temporary folder.

#include "shallotford/net.h"

#include <openssl/ec.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <filesystem>
#include <stdlib.h>

namespace shallotford::test {

/// A folder that is removed at the end.
class TemporaryFolder
{
public:
  TemporaryFolder()
  {
    std::string name =
      (std::filesystem::temp_directory_path() / "shallotfordXXXXXX").string();
    m_path = ::mkdtemp(name.data()) == nullptr ? "" : name;
  }
  ~TemporaryFolder()
  {
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  std::string File(const std::string& aName) const
  {
    return m_path + "/" + aName;
  }

private:
  std::string m_path;
};

/// A certificate authority that signs for one day.
class TestAuthority
{
public:
  explicit TestAuthority(const std::string& aName)
    : m_name(aName)
    , m_key(EVP_EC_gen("P-256"))
    , m_certificate(Sign(aName, m_key, "", true))
  {
    WriteCertificate(File(), m_certificate);
  }
  ~TestAuthority()
  {
    X509_free(m_certificate);
    EVP_PKEY_free(m_key);
  }
  TestAuthority(const TestAuthority&) = delete;
  TestAuthority& operator=(const TestAuthority&) = delete;

  std::string File() const { return m_folder.File("ca.pem"); }

  /// Returns the files of a certificate for aName, valid for aIp.
  TlsFiles Issue(const std::string& aName, const std::string& aIp)
  {
    TlsFiles files{ m_folder.File(aName + ".pem"),
                    m_folder.File(aName + ".key"),
                    "" };
    EVP_PKEY* key = EVP_EC_gen("P-256");
    X509* certificate = Sign(aName, key, aIp, false);
    WriteCertificate(files.m_certificate, certificate);
    std::FILE* file = std::fopen(files.m_key.c_str(), "we");
    PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(file);
    X509_free(certificate);
    EVP_PKEY_free(key);
    return files;
  }

private:
  X509* Sign(const std::string& aName,
             EVP_PKEY* aKey,
             const std::string& aIp,
             bool aAuthority)
  {
    constexpr long kDay = 24L * 3600;
    X509* certificate = X509_new();
    X509_set_version(certificate, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), ++m_serial);
    X509_gmtime_adj(X509_getm_notBefore(certificate), -kDay);
    X509_gmtime_adj(X509_getm_notAfter(certificate), kDay);
    X509_set_pubkey(certificate, aKey);
    SetName(X509_get_subject_name(certificate), aName);
    SetName(X509_get_issuer_name(certificate), m_name);
    if (aAuthority) {
      AddExtension(certificate, NID_basic_constraints, "critical,CA:TRUE");
    }
    if (!aIp.empty()) {
      AddExtension(certificate, NID_subject_alt_name, "IP:" + aIp);
    }
    X509_sign(certificate, m_key, EVP_sha256());
    return certificate;
  }

  static void SetName(X509_NAME* aName, const std::string& aText)
  {
    const auto* text = reinterpret_cast<const unsigned char*>(aText.c_str());
    X509_NAME_add_entry_by_txt(aName, "CN", MBSTRING_ASC, text, -1, -1, 0);
  }

  static void AddExtension(X509* aCertificate,
                           int aKind,
                           const std::string& aValue)
  {
    X509_EXTENSION* extension =
      X509V3_EXT_conf_nid(nullptr, nullptr, aKind, aValue.c_str());
    X509_add_ext(aCertificate, extension, -1);
    X509_EXTENSION_free(extension);
  }

  static void WriteCertificate(const std::string& aPath, X509* aCertificate)
  {
    std::FILE* file = std::fopen(aPath.c_str(), "we");
    PEM_write_X509(file, aCertificate);
    std::fclose(file);
  }

  TemporaryFolder m_folder;
  std::string m_name;
  long m_serial{ 0 };
  EVP_PKEY* m_key;
  X509* m_certificate;
};

} // namespace shallotford::test

#endif // SHALLOTFORD_TESTS_NET_CERTIFICATES_H
