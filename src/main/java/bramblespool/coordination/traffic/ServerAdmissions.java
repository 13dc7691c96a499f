package bramblespool.coordination.traffic;

import bramblespool.state.RoutingConfiguration;
import bramblespool.state.Service;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A proxy's server admissions by service: the one of a sidecar, or those of the servers assigned to a gateway. Confined
 * to the event loop.
 */
public final class ServerAdmissions {
    private final Map<String, List<ServerAdmission>> admissionsByService = new LinkedHashMap<>();
    private RoutingConfiguration activeConfiguration;

    /** Adds a server's admission. */
    public void add(ServerAdmission admission) {
        admissionsByService
                .computeIfAbsent(admission.target(), t -> new ArrayList<>())
                .add(admission);
        configureSlowStart(admission);
    }

    /** Removes and closes an admission that was added. */
    public void remove(ServerAdmission admission) {
        List<ServerAdmission> admissions = admissionsByService.get(admission.target());
        admissions.remove(admission);
        if (admissions.isEmpty()) {
            admissionsByService.remove(admission.target());
        }
        admission.close();
    }

    /** The admission of the service with the lowest load and cost, or null where there is none. */
    public ServerAdmission leastLoaded(String target) {
        ServerAdmission best = null;
        for (ServerAdmission admission : admissionsByService.getOrDefault(target, List.of())) {
            if (best == null || admission.precedes(best)) {
                best = admission;
            }
        }
        return best;
    }

    /** Calls {@link ServerAdmission#check} of each; to be called periodically. */
    public void check() {
        admissionsByService.values().forEach(admissions -> admissions.forEach(ServerAdmission::check));
    }

    /** The process was paused: what servers announced before may be out of date. */
    public void onProcessPaused() {
        admissionsByService.values().forEach(l -> l.forEach(ServerAdmission::onProcessPaused));
    }

    /** Sets whether the own zone is evacuated. */
    public void setEvacuated(boolean evacuated) {
        admissionsByService.values().forEach(l -> l.forEach(admission -> admission.setEvacuated(evacuated)));
    }

    /** Takes the version in force, for the present admissions and those added later. */
    public void applyConfiguration(RoutingConfiguration configuration) {
        activeConfiguration = configuration;
        admissionsByService.values().forEach(l -> l.forEach(this::configureSlowStart));
    }

    private void configureSlowStart(ServerAdmission admission) {
        Service service = activeConfiguration == null ? null : activeConfiguration.service(admission.target());
        admission.configureSlowStart(
                service == null ? 0 : service.slowStartRatePerSecond(), service == null ? 0 : service.slowStartMs());
    }

    /** Running and queued requests of all services. */
    public int load() {
        int total = 0;
        for (String service : admissionsByService.keySet()) {
            total += load(service);
        }
        return total;
    }

    /** Running and queued requests of a service. */
    public int load(String target) {
        int total = 0;
        for (ServerAdmission admission : admissionsByService.getOrDefault(target, List.of())) {
            total += admission.load();
        }
        return total;
    }

    /** Sum of the capacities of the servers that accept requests. */
    public int capacity() {
        int total = 0;
        for (List<ServerAdmission> admissions : admissionsByService.values()) {
            for (ServerAdmission admission : admissions) {
                total += admission.isAccepting() ? admission.capacity() : 0;
            }
        }
        return total;
    }

    /** Whether any server accepts requests. */
    public boolean isAccepting() {
        return admissionsByService.values().stream().anyMatch(l -> l.stream().anyMatch(ServerAdmission::isAccepting));
    }

    /** The ids of all known servers. */
    public List<String> serverIds() {
        List<String> serverIds = new ArrayList<>();
        admissionsByService
                .values()
                .forEach(l -> l.forEach(admission -> {
                    if (admission.serverId() != null) {
                        serverIds.add(admission.serverId());
                    }
                }));
        return serverIds;
    }

    /**
     * The endpoints as they are announced by gossip, one for each service.
     *
     * @param hasLeft whether this proxy has left, so that none is open
     */
    public ArrayNode describeEndpoints(boolean hasLeft) {
        ArrayNode endpoints = JsonNodeFactory.instance.arrayNode();
        admissionsByService.forEach((target, admissions) -> {
            boolean isAccepting = admissions.stream().anyMatch(ServerAdmission::isAccepting);
            int capacity = 0;
            long warmupLeftMs = Long.MAX_VALUE;
            double failureRate = 1;
            int slownessLevel = Integer.MAX_VALUE;
            StringBuilder serverIds = new StringBuilder();
            for (ServerAdmission admission : admissions) {
                if (admission.serverId() == null) {
                    continue;
                }
                serverIds.append(serverIds.length() == 0 ? "" : " ").append(admission.serverId());
                if (admission.isAccepting() || !isAccepting) {
                    capacity += admission.capacity();
                    warmupLeftMs = Math.min(warmupLeftMs, admission.warmupLeftMs());
                    failureRate = Math.min(failureRate, admission.reportedFailureRate());
                    slownessLevel = Math.min(slownessLevel, admission.slownessLevel());
                }
            }
            ObjectNode endpoint = endpoints
                    .addObject()
                    .put("target", target)
                    .put("servers", serverIds.toString())
                    .put("capacity", capacity)
                    .put("open", isAccepting && !hasLeft)
                    .put("cold", warmupLeftMs == Long.MAX_VALUE ? 0 : warmupLeftMs);
            if (failureRate > 0 && isAccepting) {
                endpoint.put("ill", failureRate);
            }
            if (slownessLevel > 0 && isAccepting) {
                endpoint.put("slow", slownessLevel);
            }
        });
        return endpoints;
    }
}
