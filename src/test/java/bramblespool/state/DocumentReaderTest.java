package bramblespool.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Reading of fields, and the faults that it finds. */
class DocumentReaderTest {
    private final List<String> faults = new ArrayList<>();

    private DocumentReader reader(String json) {
        return new DocumentReader(JsonParser.parseString(json).getAsJsonObject(), "", faults);
    }

    @ParameterizedTest
    @CsvSource({"1500ms, 1500", "2.5s, 2500", "0s, 0", "1 s, 1000"})
    void durationsAreReadInMilliseconds(String text, long durationMs) {
        assertEquals(durationMs, reader("{\"t\":\"" + text + "\"}").durationMs("t", null));
        assertEquals(List.of(), faults);
    }

    @ParameterizedTest
    @CsvSource({"1500", "-1s", "xs", "1e15ms", "2m"})
    void otherTextsAreNoDurations(String text) {
        assertEquals(0, reader("{\"t\":\"" + text + "\"}").durationMs("t", null));
        assertEquals(List.of("t: must be a time such as 1500ms or 2.5s, not '" + text + "'"), faults);
    }

    @Test
    void faultsAreListedInTheOrderOfReadingWithTheirPlaces() {
        DocumentReader reader = reader("{\"n\":\"x\",\"list\":[{\"a\":1},2,{}],\"s\":{\"b\":1.5}}");
        reader.number("n", null);
        reader.forEachSection("list", element -> element.string("a"));
        reader.section("s").wholeNumber("b", null);
        assertNull(reader.section("none").string("anything"));
        assertEquals(
                List.of(
                        "n: must be a number",
                        "list[0].a: must be a text",
                        "list[1].: must be an object",
                        "list[2].a: is missing",
                        "s.b: must be a whole number",
                        "none: section is missing"),
                faults);
    }
}
