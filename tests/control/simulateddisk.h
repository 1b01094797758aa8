#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <string>

namespace mimosarun {

/** What a simulated disk does with the operations of the process that uses it. */
struct DiskFaults
{
  /** Number of writes, syncs, truncations and renames after which the process is killed; -1 for never. */
  int operationsLeft = -1;
  bool isFull = false;
  /** Syncs fail, and what they should have covered is not covered by later ones either. */
  bool refusesSyncs = false;
  /** Called before each operation; may return late, as an operation of a stalled disk does. */
  std::function<void()> beforeOperation;
};

/**
 * The test program's own open(), write(), pwrite(), fsync(), fdatasync(), ftruncate() and rename() record
 * what is durable of the files below one folder, and apply the faults that are set.
 */
class SimulatedDisk
{
public:
  /** Starts recording; the folder is emptied. */
  static void Use(const std::string& aFolder);

  /** Sets the faults of the operations that follow. */
  static void SetFaults(const DiskFaults& aFaults);

  static int OperationsLeft();

  /** Returns whether the operations ran out; all later ones failed without effect. */
  static bool WasKilled();

  /**
   * Reduces the files below a folder to what a power loss leaves: what the last sync covered, with each later
   * write present, missing or torn, and each name that changed since the last sync of its folder old or new.
   */
  static void LosePower(const std::string& aFolder, std::mt19937_64& aRandom);

  /** Empties a folder for good. */
  static void LoseDisk(const std::string& aFolder);
};

} // namespace mimosarun
