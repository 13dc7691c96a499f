package bramblespool.model;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** The mutants fit the sources as they are now; whether the model sees them is for {@link MutantSearch}. */
class MutantsTest {
    /** A mutant is added here and not dropped. */
    private static final int MUTANT_COUNT = 47;

    static Stream<Mutant> mutants() {
        return Mutants.all().stream();
    }

    @ParameterizedTest
    @MethodSource("mutants")
    void everyTextOccursExactlyOnceInItsFile(Mutant mutant) throws IOException {
        assertFalse(mutant.edits().isEmpty(), mutant.name());
        Map<String, String> edited = new HashMap<>();
        for (Mutant.SourceEdit edit : mutant.edits()) {
            String original = Files.readString(MutantSearch.MAIN_SOURCES.resolve(edit.file()));
            assertDoesNotThrow(() -> edit.applyTo(original), mutant.name());
            // An edit must not undo or hide another one of the same file either.
            String source = edited.getOrDefault(edit.file(), original);
            String changed = assertDoesNotThrow(() -> edit.applyTo(source), mutant.name());
            assertNotEquals(source, changed, mutant.name());
            edited.put(edit.file(), changed);
        }
    }

    @Test
    void everyMutantHasItsOwnName() {
        assertEquals(MUTANT_COUNT, mutants().map(Mutant::name).distinct().count());
        assertEquals(MUTANT_COUNT, mutants().count());
    }
}
