#define BOOST_TEST_MODULE rolloutcommands
#include "harness/running.h"

using namespace mimosarun;

/** Columns of 'show rollouts'. */
static constexpr size_t kVersion = 1;
static constexpr size_t kState = 2;

static std::vector<std::string>
RolloutOf(const Mesh& aMesh, const std::string& aService)
{
  const Answer answer = aMesh.Command("show rollouts where service = " + aService);
  return answer.rows.empty() ? std::vector<std::string>(kState + 1) : answer.rows[0];
}

BOOST_AUTO_TEST_CASE(operators_start_show_and_end_a_rollout)
{
  // Guards against commands that the parser, a follower or the log rejects.
  RunningMesh mesh(SmallMesh("rolloutcommands"));
  const std::string service = mesh.Options().services.front();
  const std::string start = "start rollout " + service + " to v2 within 60";
  BOOST_TEST((mesh.Command("start rollout nothing to v2 within 60").code == AnswerCode::Invalid));
  BOOST_TEST((mesh.Command("end rollout " + service).code == AnswerCode::Refused));
  const Answer started = mesh.Command(start);
  BOOST_TEST((started.code == AnswerCode::Done), started.message);
  BOOST_TEST((mesh.Command(start).code == AnswerCode::Done));
  BOOST_TEST((mesh.Command("start rollout " + service + " to v3 within 60").code == AnswerCode::Refused));
  BOOST_TEST(RolloutOf(mesh, service)[kVersion] == "v2");
  BOOST_TEST(RolloutOf(mesh, service)[kState] == "running");
  const Answer ended = mesh.Command("end rollout " + service);
  BOOST_TEST((ended.code == AnswerCode::Done), ended.message);
  BOOST_TEST(RolloutOf(mesh, service)[kState] == "rolled_back");
}
