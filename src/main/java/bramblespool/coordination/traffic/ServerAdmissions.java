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

/** The gates of a data plane daemon, by service: a weft's one, or those of the servers a hem is steward of. */
public final class ServerAdmissions {
    private final Map<String, List<ServerAdmission>> admissionsByService = new LinkedHashMap<>();
    private RoutingConfiguration activeConfiguration;

    public void add(ServerAdmission admission) {
        admissionsByService
                .computeIfAbsent(admission.target(), t -> new ArrayList<>())
                .add(admission);
        configureSlowStart(admission);
    }

    public void remove(ServerAdmission admission) {
        List<ServerAdmission> admissions = admissionsByService.get(admission.target());
        admissions.remove(admission);
        if (admissions.isEmpty()) {
            admissionsByService.remove(admission.target());
        }
        admission.close();
    }

    /** The gate of the service behind which a request waits least, or null where there is none. */
    public ServerAdmission leastLoaded(String target) {
        ServerAdmission best = null;
        for (ServerAdmission admission : admissionsByService.getOrDefault(target, List.of())) {
            if (best == null || admission.precedes(best)) {
                best = admission;
            }
        }
        return best;
    }

    public void check() {
        admissionsByService.values().forEach(l -> l.forEach(ServerAdmission::check));
    }

    /** This process itself stood still. */
    public void onProcessPaused() {
        admissionsByService.values().forEach(l -> l.forEach(ServerAdmission::onProcessPaused));
    }

    public void setEvacuated(boolean evacuated) {
        admissionsByService.values().forEach(l -> l.forEach(g -> g.setEvacuated(evacuated)));
    }

    /** The version in force, for the gates there are and for those still to come. */
    public void applyConfiguration(RoutingConfiguration configuration) {
        activeConfiguration = configuration;
        admissionsByService.values().forEach(l -> l.forEach(this::configureSlowStart));
    }

    private void configureSlowStart(ServerAdmission admission) {
        Service service = activeConfiguration == null ? null : activeConfiguration.service(admission.target());
        admission.configureSlowStart(
                service == null ? 0 : service.slowStartRatePerSecond(), service == null ? 0 : service.slowStartMs());
    }

    public int load() {
        int total = 0;
        for (String service : admissionsByService.keySet()) {
            total += load(service);
        }
        return total;
    }

    public int load(String target) {
        int total = 0;
        for (ServerAdmission admission : admissionsByService.getOrDefault(target, List.of())) {
            total += admission.load();
        }
        return total;
    }

    public int capacity() {
        int total = 0;
        for (List<ServerAdmission> admissions : admissionsByService.values()) {
            for (ServerAdmission admission : admissions) {
                total += admission.isAccepting() ? admission.capacity() : 0;
            }
        }
        return total;
    }

    public boolean isAccepting() {
        return admissionsByService.values().stream().anyMatch(l -> l.stream().anyMatch(ServerAdmission::isAccepting));
    }

    /** The ids of all servers behind these gates. */
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

    /** What others may know: one door a service. */
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
