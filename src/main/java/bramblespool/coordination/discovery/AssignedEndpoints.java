package bramblespool.coordination.discovery;

import bramblespool.coordination.traffic.AdmissionSettings;
import bramblespool.coordination.traffic.ServerAdmission;
import bramblespool.coordination.traffic.ServerAdmissions;
import bramblespool.protocol.RegistryPage;
import bramblespool.state.EventLog;
import bramblespool.state.EventLog.Event;
import bramblespool.transport.Clock;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The servers assigned to a gateway, zone by zone, as the registry readers of the controllers assign them. Creates and
 * removes their {@link ServerAdmission}s. Confined to the event loop.
 */
public final class AssignedEndpoints {
    /**
     * The version of the last assignment of a zone: the reader's fencing token is compared first, then its number. A
     * reader that was restarted may have the same token and count from the beginning; {@code readerId} tells its runs
     * apart.
     */
    private record AssignmentVersion(long fencingToken, long number, String readerId) {
        boolean isOlderThan(long otherToken, long otherNumber) {
            return fencingToken < otherToken || fencingToken == otherToken && number < otherNumber;
        }
    }

    private final Clock clock;
    private final AdmissionSettings admissionSettings;
    private final ServerAdmissions admissions;
    private final Runnable onChange;
    private final EventLog log;
    private final Map<String, AssignmentVersion> lastVersions = new HashMap<>();
    private final Map<String, Map<String, ServerAdmission>> admissionsByZone = new HashMap<>();
    private boolean isApplying;
    private boolean hasChanged;

    /**
     * @param admissions where the assigned servers' admissions are added
     * @param onChange runs after a change of what this gateway announces of its endpoints, once for each assignment
     */
    public AssignedEndpoints(
            Clock clock,
            AdmissionSettings admissionSettings,
            ServerAdmissions admissions,
            Runnable onChange,
            EventLog log) {
        this.clock = clock;
        this.admissionSettings = admissionSettings;
        this.admissions = admissions;
        this.onChange = onChange;
        this.log = log;
    }

    /** Applies an assignment; rejects one that is older than the present one, and answers with the present version. */
    public ObjectNode applyAssignment(JsonNode request) {
        if (request.has("leaving")) {
            return markDraining(request);
        }
        String zone = request.path("zone").asText();
        long fencingToken = request.path("fence").asLong();
        long number = request.path("n").asLong();
        String readerId = request.path("reader").asText();
        AssignmentVersion lastVersion = lastVersions.get(zone);
        ObjectNode response = JsonNodeFactory.instance.objectNode();
        if (lastVersion != null && !lastVersion.isOlderThan(fencingToken, number)) {
            if (lastVersion.fencingToken > fencingToken) {
                log.logOnChange(
                        Event.ASSIGNMENT_REJECTED,
                        zone + fencingToken,
                        "zone",
                        zone,
                        "fencingToken",
                        fencingToken,
                        "currentFencingToken",
                        lastVersion.fencingToken);
            }
            return response.put("ok", lastVersion.equals(new AssignmentVersion(fencingToken, number, readerId)))
                    .put("fence", lastVersion.fencingToken)
                    .put("n", lastVersion.number);
        }
        lastVersions.put(zone, new AssignmentVersion(fencingToken, number, readerId));
        Map<String, ServerAdmission> zoneAdmissions = admissionsByZone.computeIfAbsent(zone, z -> new HashMap<>());
        isApplying = true;
        hasChanged = false;
        Set<String> assignedIds = new HashSet<>();
        for (JsonNode entry : request.path("servers")) {
            RegistryPage.RegisteredServer server = RegistryPage.RegisteredServer.fromJson(entry);
            assignedIds.add(server.id());
            ServerAdmission admission = zoneAdmissions.computeIfAbsent(server.id(), id -> {
                ServerAdmission created = new ServerAdmission(
                        clock, admissionSettings, server.address(), server.target(), this::onAdmissionChange, log);
                admissions.add(created);
                return created;
            });
            admission.onRegistryEntry(server.id(), server.capacity(), server.isDraining(), server.warmupLeftMs());
        }
        zoneAdmissions.entrySet().removeIf(entry -> {
            boolean isRemoved = !assignedIds.contains(entry.getKey());
            if (isRemoved) {
                admissions.remove(entry.getValue());
                hasChanged = true;
            }
            return isRemoved;
        });
        isApplying = false;
        log.log(
                Event.ENDPOINTS_ASSIGNED,
                "zone",
                zone,
                "fencingToken",
                fencingToken,
                "sequence",
                number,
                "endpoints",
                assignedIds.size());
        if (hasChanged) {
            onChange.run();
        }
        return response.put("ok", true);
    }

    /** Marks servers as draining. That needs no fencing token, because it is never undone. */
    private ObjectNode markDraining(JsonNode request) {
        Map<String, ServerAdmission> zoneAdmissions =
                admissionsByZone.getOrDefault(request.path("zone").asText(), Map.of());
        for (JsonNode id : request.path("leaving")) {
            ServerAdmission admission = zoneAdmissions.get(id.asText());
            if (admission != null) {
                admission.markDraining();
            }
        }
        return JsonNodeFactory.instance.objectNode().put("ok", true);
    }

    /** Reports the changes of one assignment once. */
    private void onAdmissionChange() {
        if (isApplying) {
            hasChanged = true;
        } else {
            onChange.run();
        }
    }
}
