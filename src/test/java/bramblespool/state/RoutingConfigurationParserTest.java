package bramblespool.state;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bramblespool.testing.SimulatedMesh;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;
import org.junit.jupiter.params.provider.CsvSource;

/** What a configuration document may hold, and which faults are reported. */
class RoutingConfigurationParserTest {
    private static final String VALID_DOCUMENT = SimulatedMesh.document(5, 0, "p");

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"pathPrefix\"|\"pathprefix\"|pathPrefix: is missing",
                "/p/|p/|must begin and end with a slash",
                "/p/|/p|must begin and end with a slash",
                "null,2,\"desk\"|null,2,\"nobody\"|unknown service: nobody",
                "null,2,\"desk\"|[{\"target\":\"desk\",\"share\":-1}],2,null|a weight is below 0",
                "\"idempotent\"|\"sometimes\"|must be one of idempotent, mutating, keyed, not 'sometimes'",
                "\"1500ms\"|\"soon\"|must be a time",
                "\"epoch\":5|\"epoch\":5.5|whole number",
                "\"rows\":[[\"r\"|\"rows\":[[\"r\",\"extra\"|one value for each column"
            })
    void invalidConfigurationIsRejectedWithReason(String from, String to, String fault) {
        assertTrue(VALID_DOCUMENT.contains(from));
        InvalidConfigurationException invalid = assertThrows(
                InvalidConfigurationException.class,
                () -> RoutingConfigurationParser.parse(VALID_DOCUMENT.replace(from, to)));
        assertTrue(invalid.getMessage().contains(fault), invalid.getMessage());
    }

    @Test
    void allErrorsAreReportedTogetherAndTruncatedDocumentIsRejected() {
        InvalidConfigurationException e = assertThrows(
                InvalidConfigurationException.class,
                () -> RoutingConfigurationParser.parse(
                        VALID_DOCUMENT.replace("/p/", "p").replace("null,2,\"desk\"", "null,2,\"nobody\"")));
        assertTrue(e.getMessage().contains("slash") && e.getMessage().contains("nobody"), e.getMessage());
        for (int cut = 1; cut < VALID_DOCUMENT.strip().length(); cut += 17) {
            String part = VALID_DOCUMENT.substring(0, cut);
            assertThrows(InvalidConfigurationException.class, () -> RoutingConfigurationParser.parse(part));
        }
    }

    /** What only a lenient reader accepts is rejected: what it would make of it was never sent. */
    @ParameterizedTest
    @CsvFileSource(resources = "/bramblespool/lenient-json.csv", delimiter = '|', quoteCharacter = '`')
    void lenientJsonIsRejected(String from, String to) {
        assertTrue(VALID_DOCUMENT.contains(from));
        assertThrows(
                InvalidConfigurationException.class,
                () -> RoutingConfigurationParser.parse(VALID_DOCUMENT.replace(from, to)));
    }

    @Test
    void trailingContentIsRejected() {
        assertThrows(
                InvalidConfigurationException.class, () -> RoutingConfigurationParser.parse(VALID_DOCUMENT + "{}"));
    }

    @Test
    void duplicateRoutePrefixIsRejected() {
        String row = "[\"r\",\"x.example\",\"/p/\",\"idempotent\",\"1500ms\",\"600ms\",1,null,2,\"desk\"]";
        assertTrue(VALID_DOCUMENT.contains(row));
        InvalidConfigurationException e = assertThrows(
                InvalidConfigurationException.class,
                () -> RoutingConfigurationParser.parse(
                        VALID_DOCUMENT.replace(row, row + "," + row.replace("\"r\"", "\"q\""))));
        assertTrue(e.getMessage().contains("same place"), e.getMessage());
    }
}
