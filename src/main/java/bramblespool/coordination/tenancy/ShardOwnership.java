package bramblespool.coordination.tenancy;

/**
 * One time that this controller owns a shard without another owner in between.
 *
 * @param term numbers the times that it took the shard from somebody else
 * @param isFirst whether nobody granted anything of this shard before, for as long as a register is retained
 * @param formerOwnerEndedMs when the former owner's lease had lapsed at the latest, by this controller's clock
 */
public record ShardOwnership(String shard, long term, boolean isFirst, long formerOwnerEndedMs) {}
