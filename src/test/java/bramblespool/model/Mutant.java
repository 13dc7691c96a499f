package bramblespool.model;

import java.util.ArrayList;
import java.util.List;

/**
 * The code with one fault in it.
 *
 * @param name what the code does wrong
 * @param theme the schedules that bring the fault to light
 * @param edits the changes to the sources that make the fault; applied in this order
 */
record Mutant(String name, ScheduleGenerator.Theme theme, List<SourceEdit> edits) {
    /**
     * One change to a source.
     *
     * @param file path below {@code src/main/java/bramblespool}
     * @param text occurs exactly once in the file
     * @param replacement stands in its place
     */
    record SourceEdit(String file, String text, String replacement) {
        /** The source with the change; {@link IllegalStateException} unless the text occurs exactly once. */
        String applyTo(String source) {
            int index = source.indexOf(text);
            if (index < 0) {
                throw new IllegalStateException(file + " has no " + text);
            }
            if (source.indexOf(text, index + 1) >= 0) {
                throw new IllegalStateException(file + " has more than one " + text);
            }
            return source.substring(0, index) + replacement + source.substring(index + text.length());
        }
    }

    static Mutant of(String name, ScheduleGenerator.Theme theme) {
        return new Mutant(name, theme, List.of());
    }

    /** This mutant with one more edit. */
    Mutant replacing(String file, String text, String replacement) {
        List<SourceEdit> more = new ArrayList<>(edits);
        more.add(new SourceEdit(file, text, replacement));
        return new Mutant(name, theme, List.copyOf(more));
    }
}
