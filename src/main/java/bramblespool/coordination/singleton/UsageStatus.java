package bramblespool.coordination.singleton;

/**
 * What the status page says about usage reports.
 *
 * @param owner peer address of the role's owner, or empty
 * @param fencingToken the owner's token, or 0
 * @param oldestWindow the first window that is not known to be reported
 * @param currentWindow the window that runs
 * @param processes how many proxy processes have reported usage to this controller
 */
record UsageStatus(String owner, long fencingToken, long oldestWindow, long currentWindow, int processes) {}
