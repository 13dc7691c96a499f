package bramblespool.state;

import java.util.List;

/** A settings file that cannot be used. The message lists all its faults, each naming its field. */
public final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Lists the faults in their order, after the name of the file. */
    public InvalidSettingsException(String file, List<String> faults) {
        super(file + ": " + String.join("; ", faults));
    }
}
