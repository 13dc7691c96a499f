package bramblespool.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** The events and their catalogue. */
class EventCatalogueTest {
    @Test
    void eventCatalogueMatchesCode() throws Exception {
        List<String> code = new ArrayList<>();
        for (EventLog.Event event : EventLog.Event.values()) {
            code.add("B" + event.number() + " " + event.name() + " " + event.level());
        }
        assertEquals(
                code.size(),
                new TreeSet<>(code.stream().map(c -> c.split(" ")[0]).toList()).size(),
                "numbers differ");
        List<String> docs = new ArrayList<>();
        Matcher matcher = Pattern.compile("^\\| (B\\d+) \\| (\\w+) \\| (\\w+) \\|", Pattern.MULTILINE)
                .matcher(Files.readString(Path.of("docs/log-events.md")));
        while (matcher.find()) {
            docs.add(matcher.group(1) + " " + matcher.group(2) + " " + matcher.group(3));
        }
        assertEquals(new TreeSet<>(code), new TreeSet<>(docs));
    }
}
