package bramblespool.state;

import java.util.List;

/** A configuration, or another document, that may not be used. The message lists the faults found in it. */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    /** So many faults are listed; of the others the message says only how many there are. */
    private static final int MAX_LISTED_FAULTS = 20;

    /** Lists the faults in their order; each begins with the place it is at. */
    public InvalidConfigurationException(List<String> faults) {
        super(describe(faults));
    }

    private static String describe(List<String> faults) {
        int unlistedFaults = faults.size() - MAX_LISTED_FAULTS;
        if (unlistedFaults <= 0) {
            return String.join("; ", faults);
        }
        return String.join("; ", faults.subList(0, MAX_LISTED_FAULTS)) + "; and " + unlistedFaults + " more";
    }
}
