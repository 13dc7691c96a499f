package bramblespool.coordination.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.NullSource;
import org.junit.jupiter.params.provider.ValueSource;

class VersionTagTest {
    @Test
    void tagNamesNumberAndStamp() {
        assertEquals(Optional.of(new VersionTag(7, "1f-a")), VersionTag.parse("t7-1f-a"));
        assertEquals(Optional.of(new VersionTag(7, VersionTag.ANY_STAMP)), VersionTag.parse("t7"));
    }

    @ParameterizedTest
    @NullSource
    @ValueSource(strings = {"", "0", "1", "t", "tx", "t-5", "7-1f", "t99999999999999999999"})
    void otherMarksAreNoTags(String mark) {
        assertTrue(VersionTag.parse(mark).isEmpty());
    }
}
