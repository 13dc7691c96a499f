package bramblespool.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.state.InvalidConfigurationException;
import bramblespool.testing.SimulatedMesh;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;

/** What an operator may send. */
class OperatorRequestTest {
    private static final String VALID_DOCUMENT = SimulatedMesh.document(5, 0, "p");

    /** What only a lenient reader accepts is rejected: what it would make of it was never sent. */
    @ParameterizedTest
    @CsvFileSource(resources = "/bramblespool/lenient-json.csv", delimiter = '|', quoteCharacter = '`')
    void lenientJsonIsRejected(String from, String to) {
        assertTrue(VALID_DOCUMENT.contains(from));
        assertThrows(
                InvalidConfigurationException.class,
                () -> OperatorRequest.parseChange(
                        false, VALID_DOCUMENT.replace(from, to).getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void invalidUtf8IsRejected() throws InvalidConfigurationException {
        byte[] bytes = VALID_DOCUMENT.getBytes(StandardCharsets.UTF_8);
        assertEquals(
                5,
                OperatorRequest.parseChange(false, bytes)
                        .document()
                        .get("epoch")
                        .getAsLong());
        bytes[VALID_DOCUMENT.indexOf("x.example")] = (byte) 0xff;
        assertThrows(InvalidConfigurationException.class, () -> OperatorRequest.parseChange(false, bytes));
    }
}
