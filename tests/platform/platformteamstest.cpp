#define BOOST_TEST_MODULE platformteams
#include "platform/platformmesh.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <thread>

using namespace mimosarun;

static constexpr std::chrono::seconds kWaitLimit{ 15 };
static constexpr std::chrono::milliseconds kRemovalLimit{ 2500 };
static constexpr std::chrono::milliseconds kBound{ 3000 };

/** Returns a configuration with a team that has one key, a public route "/read/" and a private one "/book/".
 */
static std::string
MakeDocument(int aVersion, const std::string& aKey)
{
  std::string document = PlatformMesh::Document(aVersion);
  const std::string read = "\"name\":\"read\",";
  document.insert(document.find(read) + read.size(), "\"public\":true,");
  document.pop_back();
  return document + ",\"tenants\":[{\"name\":\"the till\",\"apiKeys\":[\"" + aKey +
         "\"],\"priority\":1,\"ratePerS\":0,\"burst\":0}]}";
}

static std::string
CallWithKey(PlatformMesh& aMesh, const std::string& aPath, const std::string& aKey, const std::string& aId)
{
  const std::string forged = "Tenant: forged\r\ntenant: forged too\r\n";
  return aMesh.CallWithHeaders(
    0, aPath, aId, forged + (aKey.empty() ? "" : "Authorization: Bearer " + aKey + "\r\n"));
}

// Guards against: on the platform a key or a forged name reaches a target, or a removed key stays valid.
BOOST_AUTO_TEST_CASE(keys_decide_who_may_send_requests)
{
  PlatformMesh mesh("platformteams",
                    ",\"revokeStrict=true\",\"revoke=" + std::to_string(kBound.count()) + "ms\"");
  BOOST_REQUIRE(mesh.Start());
  BOOST_TEST(mesh.ReplaceConfiguration("r3", MakeDocument(4, "s3cret-1")) == 200);
  BOOST_REQUIRE(WaitUntil(kWaitLimit, [&] {
    return CallWithKey(mesh, "/book/1", "s3cret-1", "first").starts_with("HTTP/1.1 200");
  }));
  const HttpHeaders headers = mesh.targets[1]->LastHeaders();
  BOOST_TEST(FindHeader(headers, "Tenant") == "the till");
  BOOST_TEST(!HasHeader(headers, "Authorization"));
  BOOST_TEST(std::count_if(headers.begin(), headers.end(), [](const HttpHeader& aHeader) {
               return SameHeaderName(aHeader.name, "Tenant");
             }) == 1);
  BOOST_TEST(CallWithKey(mesh, "/book/1", "s3cret-9", "unknown").starts_with("HTTP/1.1 401"));
  BOOST_TEST(CallWithKey(mesh, "/book/1", "", "missing").starts_with("HTTP/1.1 401"));
  BOOST_TEST(CallWithKey(mesh, "/read/1", "s3cret-1", "open").starts_with("HTTP/1.1 200"));
  BOOST_TEST(!HasHeader(mesh.targets[0]->LastHeaders(), "Tenant"));
  BOOST_TEST(!HasHeader(mesh.targets[0]->LastHeaders(), "Authorization"));
  BOOST_TEST(mesh.ReadConfiguration().find("s3cret-1") != std::string::npos);

  BOOST_TEST(mesh.ReplaceConfiguration("r4", MakeDocument(5, "s3cret-1"), 0) == 200);
  BOOST_TEST(mesh.ReplaceConfiguration("r5", MakeDocument(6, "s3cret-2"), 1) == 200);
  BOOST_TEST(WaitUntil(kRemovalLimit, [&] {
    return CallWithKey(mesh, "/book/1", "s3cret-1", "removed").starts_with("HTTP/1.1 401");
  }));
  BOOST_TEST(CallWithKey(mesh, "/book/1", "s3cret-2", "added").starts_with("HTTP/1.1 200"));

  // Suspended replicas reply to nobody, so the nodes are cut off from control.
  for (const Process& replica : mesh.replicas) {
    replica.Signal(SIGSTOP);
  }
  BOOST_TEST(CallWithKey(mesh, "/book/1", "s3cret-2", "held").starts_with("HTTP/1.1 200"));
  std::this_thread::sleep_for(kBound);
  const std::string refused = CallWithKey(mesh, "/book/1", "s3cret-2", "expired");
  BOOST_TEST(refused.starts_with("HTTP/1.1 503"), refused);
  BOOST_TEST(refused.find("Retry-After: ") != std::string::npos, refused);
  BOOST_TEST(CallWithKey(mesh, "/book/1", "s3cret-9", "expired-2").starts_with("HTTP/1.1 503"));
  BOOST_TEST(CallWithKey(mesh, "/read/1", "", "expired-3").starts_with("HTTP/1.1 200"));
  for (const Process& replica : mesh.replicas) {
    replica.Signal(SIGCONT);
  }
  BOOST_TEST(WaitUntil(kWaitLimit, [&] {
    return CallWithKey(mesh, "/book/1", "s3cret-2", "back").starts_with("HTTP/1.1 200");
  }));
}
