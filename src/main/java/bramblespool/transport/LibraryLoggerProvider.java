package bramblespool.transport;

import java.util.Map;
import org.jboss.logging.Logger;
import org.jboss.logging.LoggerProvider;

/**
 * Logging of the libraries: warnings and errors go to standard error. The JDK's logging would do the same, but takes a
 * sixth of a start to set up. Found by its name under {@code META-INF/services}. May be called from any thread.
 */
public final class LibraryLoggerProvider implements LoggerProvider {
    /** Logger of requests that cannot be parsed; they are answered, and not logged. */
    private static final String REQUEST_PARSER_LOGGER = "io.undertow.request";

    private static final class StandardErrorLogger extends Logger {
        private static final long serialVersionUID = 1L;

        StandardErrorLogger(String name) {
            super(name);
        }

        @Override
        public boolean isEnabled(Level level) {
            return level.ordinal() <= Level.WARN.ordinal() && !getName().startsWith(REQUEST_PARSER_LOGGER);
        }

        @Override
        protected void doLog(
                Level level, String loggerClassName, Object message, Object[] parameters, Throwable thrown) {
            print(level, String.valueOf(message), thrown);
        }

        @Override
        protected void doLogf(
                Level level, String loggerClassName, String format, Object[] parameters, Throwable thrown) {
            if (isEnabled(level)) {
                print(
                        level,
                        parameters == null || parameters.length == 0 ? format : String.format(format, parameters),
                        thrown);
            }
        }

        private void print(Level level, String message, Throwable thrown) {
            if (isEnabled(level)) {
                System.err.println(level + " " + getName() + ": " + message + (thrown == null ? "" : ": " + thrown));
            }
        }
    }

    @Override
    public Logger getLogger(String name) {
        return new StandardErrorLogger(name);
    }

    @Override
    public void clearMdc() {}

    @Override
    public Object putMdc(String key, Object value) {
        return null;
    }

    @Override
    public Object getMdc(String key) {
        return null;
    }

    @Override
    public void removeMdc(String key) {}

    @Override
    public Map<String, Object> getMdcMap() {
        return Map.of();
    }

    @Override
    public void clearNdc() {}

    @Override
    public String getNdc() {
        return null;
    }

    @Override
    public int getNdcDepth() {
        return 0;
    }

    @Override
    public String popNdc() {
        return null;
    }

    @Override
    public String peekNdc() {
        return null;
    }

    @Override
    public void pushNdc(String message) {}

    @Override
    public void setNdcMaxDepth(int maxDepth) {}
}
