package bramblespool.soak;

import bramblespool.testing.RawHttp;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An operator who changes the configuration again and again, and reads it back at any controller. */
final class SoakOperator {
    private static final Pattern EPOCH = Pattern.compile("\"epoch\":(\\d+)");

    private final SoakMesh mesh;
    private final Random random;
    private final List<String> violations = new ArrayList<>();
    private volatile boolean isOver;
    private Thread thread;
    private volatile long acknowledged = 1;
    private int changes;

    SoakOperator(SoakMesh mesh, long seed) {
        this.mesh = mesh;
        this.random = new Random(seed);
    }

    int changes() {
        return changes;
    }

    List<String> violations() {
        return violations;
    }

    void start() {
        thread = new Thread(this::run);
        thread.start();
    }

    void stop() throws InterruptedException {
        isOver = true;
        thread.join();
    }

    private void run() {
        long epoch = 1;
        while (!isOver) {
            long base = acknowledged;
            epoch += 1 + random.nextInt(3);
            changeUntilAnswered(epoch, base);
            read(mesh.controllers.get(random.nextInt(SoakMesh.CONTROLLERS)));
        }
    }

    /** Sends the same change until it is acknowledged or another version turns out to be in force. */
    private void changeUntilAnswered(long epoch, long base) {
        String document = SoakMesh.document(epoch, base);
        while (!isOver) {
            SoakProcess controller = mesh.controllers.get(random.nextInt(SoakMesh.CONTROLLERS));
            int status = SoakMesh.post(controller, "/bramblespool/config/replace", document);
            if (status == 200) {
                acknowledged = epoch;
                changes++;
                return;
            }
            if (status == 412 || status == 400) {
                violations.add("change " + epoch + " on " + base + ", the only one, was answered " + status);
                return;
            }
        }
    }

    /** A read answers the newest acknowledged version, or that it cannot be sure. */
    private void read(SoakProcess controller) {
        long before = acknowledged;
        RawHttp.Response response = SoakMesh.call(
                controller.ip, SoakMesh.CONTROL_PORT, "GET /bramblespool/config/read HTTP/1.1\r\nHost: h\r\n\r\n");
        if (response.status() == 200) {
            Matcher matcher = EPOCH.matcher(response.body());
            if (!matcher.find() || Long.parseLong(matcher.group(1)) < before) {
                violations.add("read at " + controller.ip + " is older than " + before);
            }
        }
    }

    /** Reads at every controller until one answers; returns the epoch. */
    long readBack() throws Exception {
        long[] epoch = new long[1];
        SoakMesh.await("a read", () -> {
            for (SoakProcess controller : mesh.controllers) {
                RawHttp.Response response = SoakMesh.call(
                        controller.ip,
                        SoakMesh.CONTROL_PORT,
                        "GET /bramblespool/config/read HTTP/1.1\r\nHost: h\r\n\r\n");
                Matcher matcher = EPOCH.matcher(response.body());
                if (response.status() == 200 && matcher.find()) {
                    epoch[0] = Long.parseLong(matcher.group(1));
                    return true;
                }
            }
            return false;
        });
        return epoch[0];
    }

    long acknowledged() {
        return acknowledged;
    }
}
