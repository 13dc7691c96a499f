package bramblespool.coordination.discovery;

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

/** The servers a hem is steward of, zone by zone as the readers of the platform's list assign them. */
public final class AssignedEndpoints {
    /**
     * What the reader of a zone's list last assigned; a reader's fence outranks the number within it. One that was
     * started again may hold the same fence and count from the beginning: {@code reader} tells its lives apart.
     */
    private record AssignmentVersion(long fencingToken, long number, String readerId) {
        boolean isOlderThan(long otherToken, long otherNumber) {
            return fencingToken < otherToken || fencingToken == otherToken && number < otherNumber;
        }
    }

    private final Clock clock;
    private final ServerAdmission.AdmissionSettings admissionSettings;
    private final ServerAdmissions admissions;
    private final Runnable onChange;
    private final EventLog log;
    private final Map<String, AssignmentVersion> lastVersions = new HashMap<>();
    private final Map<String, Map<String, ServerAdmission>> admissionsByZone = new HashMap<>();
    private boolean isApplying;
    private boolean hasChanged;

    public AssignedEndpoints(
            Clock clock,
            ServerAdmission.AdmissionSettings admissionSettings,
            ServerAdmissions admissions,
            Runnable onChange,
            EventLog log) {
        this.clock = clock;
        this.admissionSettings = admissionSettings;
        this.admissions = admissions;
        this.onChange = onChange;
        this.log = log;
    }

    /** Takes an assignment, or says which newer one stands. */
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

    /** Takes the word of whoever has read the list that servers are about to end: it needs no fence, for it is never taken back. */
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

    /** Changes that come with one assignment are told once. */
    private void onAdmissionChange() {
        if (isApplying) {
            hasChanged = true;
        } else {
            onChange.run();
        }
    }
}
