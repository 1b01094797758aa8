#define BOOST_TEST_MODULE lossproperties
#include "common/log.h"
#include "control/lossdeployment.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace mimosarun;
using std::chrono::milliseconds;

/** Time after the final loss by which the group must accept a change. */
static constexpr milliseconds kRecovery{ 15000 };
/** A replica whose disk refused a write or sync opens its journal again after this time. */
static constexpr milliseconds kReopenTime{ 1000 };
/** Time in which VMs that die together may stop one after the other. */
static constexpr milliseconds kLongestMoment{ 400 };

/** Writes the log of the many simulated failures nowhere. */
struct SilentLog
{
  SilentLog() { OpenLog({ .file = "/dev/null" }); }
};

BOOST_TEST_GLOBAL_FIXTURE(SilentLog);

/** A day of a deployment that meets combined disruptions, drawn at random. */
class LossDay
{
public:
  explicit LossDay(uint64_t aSeed)
    : m_deployment(aSeed)
  {
  }

  void Run()
  {
    m_deployment.Run(milliseconds(4000 + Below(3000)));
    for (auto count = 2 + Below(5); count > 0; --count) {
      Disrupt();
      m_deployment.Run(milliseconds(Below(4) == 0 ? 0 : Below(3000)));
    }
    FinalLoss();
    RC_ASSERT(m_deployment.CommitsWithin(kRecovery));
  }

private:
  using PausePoint = SimulatedProcess::PausePoint;

  uint64_t Below(uint64_t aLimit) { return m_deployment.Below(aLimit); }

  milliseconds DownTime() { return milliseconds(100 + Below(900)); }

  void Die(LossVm& aVm, Death aDeath) { m_deployment.Die(aVm, aDeath, DownTime()); }

  /** All VMs die at the same moment, half of the time with disk operations under way. */
  void DieAll(Death aDeath, const LossVm* aExcept)
  {
    if (Below(2) == 0) {
      StopWithinOperations(aExcept);
    }
    for (LossVm* vm : m_deployment.Present()) {
      if (vm != aExcept) {
        Die(*vm, aDeath);
      }
    }
  }

  /** Runs for a moment in which each VM may stop at a disk operation. */
  void StopWithinOperations(const LossVm* aExcept)
  {
    for (LossVm* vm : m_deployment.Present()) {
      if (vm != aExcept && vm->process != nullptr && !vm->process->IsPaused()) {
        vm->pause = { .time = kLongestMoment };
        vm->process->PauseAt(PausePoint::Operation, static_cast<int>(Below(12)));
      }
    }
    m_deployment.Run(milliseconds(Below(kLongestMoment.count())));
  }

  /** Returns the leader half of the time, otherwise any VM. */
  LossVm& Victim()
  {
    const std::vector<LossVm*> present = m_deployment.Present();
    for (LossVm* vm : present) {
      if (vm->process != nullptr && vm->process->IsLeader() && Below(2) == 0) {
        return *vm;
      }
    }
    return *present[Below(present.size())];
  }

  /** Runs until the next change is acknowledged, or for a second. */
  void RunUntilAcknowledged()
  {
    const size_t before = m_deployment.AcknowledgedCount();
    const Deadline end = m_deployment.Now() + milliseconds(1000);
    while (m_deployment.Now() < end && m_deployment.AcknowledgedCount() == before) {
      m_deployment.Step();
    }
  }

  /**
   * A disk may be lost while VMs are lost otherwise, but after the loss of another disk only once no
   * VM counts as lost; most often exactly then.
   */
  void RunUntilDiskMayBeLost()
  {
    MendDisks();
    const bool waits = m_hasLostDisk || Below(2) == 0;
    while (waits && m_deployment.Now() < m_deployment.NoneLostAt()) {
      m_deployment.Step();
    }
    m_hasLostDisk = true;
    if (Below(4) > 0) {
      RunUntilAcknowledged();
    }
  }

  /** Stops a VM at one of its next disk operations. */
  void DieAtOperation(LossVm& aVm, Death aDeath)
  {
    if (aVm.process == nullptr) {
      return;
    }
    DiskFaults faults = aVm.process->Faults();
    faults.operationsLeft = static_cast<int>(1 + Below(8));
    aVm.process->SetFaults(faults);
    aVm.death = aDeath;
    aVm.downTime = DownTime();
    m_deployment.Run(milliseconds(Below(1000)));
    if (aVm.process != nullptr && aVm.process->Faults().operationsLeft > 0) {
      Die(aVm, aDeath);
    }
  }

  /** Suspends a VM between two steps, or in one before it sends or at a disk operation. */
  void Freeze(LossVm& aVm)
  {
    if (aVm.process == nullptr || aVm.process->IsPaused()) {
      return;
    }
    aVm.pause = { .time = milliseconds(500 + Below(4000)), .freezes = true, .stopsClock = Below(2) == 0 };
    if (Below(2) == 0) {
      m_deployment.BeginPause(aVm);
      return;
    }
    aVm.process->PauseAt(Below(2) == 0 ? PausePoint::Send : PausePoint::Operation,
                         static_cast<int>(Below(8)));
  }

  /** One of the next disk operations takes seconds, and mostly succeeds then; otherwise the VM dies. */
  void StallDisk(LossVm& aVm)
  {
    if (aVm.process == nullptr || aVm.process->IsPaused()) {
      return;
    }
    aVm.pause = { .time = milliseconds(500 + Below(4000)), .endsInDeath = Below(3) == 0 };
    aVm.death = Below(4) == 0 ? Death::Kill : Death::PowerLoss;
    aVm.downTime = DownTime();
    aVm.process->PauseAt(PausePoint::Operation, static_cast<int>(Below(8)));
    m_deployment.Run(milliseconds(Below(3000)));
  }

  void Cut()
  {
    std::set<std::string> otherSide{ Victim().name };
    if (Below(2) == 0) {
      otherSide.insert(Victim().name);
    }
    const milliseconds time(500 + Below(3000));
    m_deployment.Cut(std::move(otherSide), time);
  }

  /** Makes a disk refuse writes or syncs. */
  void FailDisk(LossVm& aVm)
  {
    if (aVm.process != nullptr) {
      const bool isFull = Below(2) == 0;
      aVm.process->SetFaults({ .isFull = isFull, .refusesSyncs = !isFull });
    }
    m_deployment.Run(milliseconds(Below(3000)));
  }

  /** Ends what disks refuse, and the stalls and suspensions that haven't begun. */
  void MendDisks()
  {
    for (LossVm* vm : m_deployment.Present()) {
      if (vm->process == nullptr) {
        continue;
      }
      vm->process->PauseAt(PausePoint::None, 0);
      DiskFaults faults = vm->process->Faults();
      if (std::exchange(faults.isFull, false) | std::exchange(faults.refusesSyncs, false)) {
        vm->process->SetFaults(faults);
        m_deployment.CountLost(kReopenTime);
      }
    }
  }

  void Replace(LossVm& aVm)
  {
    m_deployment.Die(aVm, Death::DiskLoss, milliseconds(0));
    aVm.isGone = true;
    m_deployment.Run(milliseconds(Below(1000)));
    m_deployment.AddVm(false);
    m_deployment.CountLost(milliseconds(0));
  }

  /** Stops all VMs in turn, some of them in the planned way, in which a leader is replaced first. */
  void StopInSeries()
  {
    for (LossVm* vm : m_deployment.Present()) {
      if (vm->process != nullptr && Below(2) == 0) {
        vm->process->Input().leaves = true;
        m_deployment.Run(milliseconds(Below(300)));
      }
      Die(*vm, Death::Kill);
      m_deployment.Run(milliseconds(500 + Below(2500)));
    }
  }

  void LoseDisk(bool aOthersLosePower)
  {
    RunUntilDiskMayBeLost();
    LossVm& victim = Victim();
    Die(victim, Death::DiskLoss);
    if (aOthersLosePower) {
      DieAll(Death::PowerLoss, &victim);
    }
  }

  void Disrupt()
  {
    switch (Below(15)) {
      case 0:
        Die(Victim(), Death::Kill);
        break;
      case 1:
        DieAtOperation(Victim(), Death::Kill);
        break;
      case 2:
        DieAtOperation(Victim(), Death::PowerLoss);
        break;
      case 3:
        RunUntilAcknowledged();
        Die(Victim(), Death::PowerLoss);
        break;
      case 4:
      case 5:
        LoseDisk(Below(3) == 0);
        break;
      case 6:
        Freeze(Victim());
        break;
      case 7:
        FailDisk(Victim());
        break;
      case 8:
        DieAll(Death::Kill, nullptr);
        break;
      case 9:
        DieAll(Death::PowerLoss, nullptr);
        break;
      case 10:
        Cut();
        break;
      case 11:
        RunUntilDiskMayBeLost();
        Replace(Victim());
        break;
      case 12:
      case 13:
        StallDisk(Victim());
        break;
      default:
        StopInSeries();
        break;
    }
    if (Below(3) > 0) {
      MendDisks();
    }
  }

  void FinalLoss()
  {
    const bool losesDisk = Below(2) == 0;
    if (losesDisk) {
      RunUntilDiskMayBeLost();
    }
    m_deployment.Run(milliseconds(5 + Below(400)));
    LossVm& victim = Victim();
    if (losesDisk) {
      Die(victim, Death::DiskLoss);
    }
    if (!losesDisk || Below(3) > 0) {
      DieAll(Below(2) == 0 ? Death::Kill : Death::PowerLoss, losesDisk ? &victim : nullptr);
    }
    m_deployment.Cut({}, milliseconds(0));
    MendDisks();
  }

  LossDeployment m_deployment;
  bool m_hasLostDisk = false;
};

// Guards against: an acknowledged change is gone, or a read doesn't contain it, after disruptions of several
// kinds at once that lose no more disks than one at a time.
RC_BOOST_PROP(acknowledged_changes_outlive_combined_losses, ())
{
  const auto seed = *rc::gen::noShrink(rc::gen::inRange<uint64_t>(0, 1'000'000'000));
  LossDay(seed).Run();
}
