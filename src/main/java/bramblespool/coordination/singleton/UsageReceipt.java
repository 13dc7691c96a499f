package bramblespool.coordination.singleton;

/**
 * A controller's answer to a {@link UsageUpdate}.
 *
 * @param change the number of the last change that the controller has
 * @param timeMs the cluster's time of day
 */
public record UsageReceipt(long change, long timeMs) {}
