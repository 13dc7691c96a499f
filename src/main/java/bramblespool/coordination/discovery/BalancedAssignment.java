package bramblespool.coordination.discovery;

import bramblespool.coordination.hashing.RendezvousHash;
import bramblespool.protocol.RegistryPage;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Distributes servers evenly over gateways, each service by itself and all services together, with as few moves as
 * possible. One instance holds the counts of one run.
 */
final class BalancedAssignment {
    private final Map<String, Integer> totalCounts = new HashMap<>();
    private final Map<String, Map<String, Integer>> countsByService = new HashMap<>();
    private final Collection<String> gateways;

    private BalancedAssignment(Collection<String> gateways) {
        this.gateways = gateways;
    }

    /**
     * Completes and balances an assignment in place. Draining servers are not moved.
     *
     * @param gatewayByServer server ids and the gateways they are assigned to
     */
    static void balance(
            Collection<RegistryPage.RegisteredServer> servers,
            Collection<String> candidates,
            Map<String, String> gatewayByServer) {
        BalancedAssignment assignment = new BalancedAssignment(new TreeSet<>(candidates));
        List<RegistryPage.RegisteredServer> movable = new ArrayList<>();
        List<RegistryPage.RegisteredServer> unassigned = new ArrayList<>();
        for (RegistryPage.RegisteredServer server : servers) {
            String currentGateway = gatewayByServer.get(server.id());
            if (currentGateway == null) {
                unassigned.add(server);
            } else if (!server.isDraining()) {
                assignment.adjustCount(server.target(), currentGateway, 1);
            }
            if (!server.isDraining()) {
                movable.add(server);
            }
        }
        unassigned.sort(Comparator.comparing(RegistryPage.RegisteredServer::id));
        movable.sort(Comparator.comparing(RegistryPage.RegisteredServer::id));
        for (RegistryPage.RegisteredServer server : unassigned) {
            String newGateway = assignment.leastLoaded(server);
            gatewayByServer.put(server.id(), newGateway);
            if (!server.isDraining()) {
                assignment.adjustCount(server.target(), newGateway, 1);
            }
        }
        for (RegistryPage.RegisteredServer server : movable) {
            String currentGateway = gatewayByServer.get(server.id());
            String newGateway = assignment.leastLoaded(server);
            int serviceDifference = assignment.serviceCount(server.target(), currentGateway)
                    - assignment.serviceCount(server.target(), newGateway);
            int totalDifference = assignment.totalCount(currentGateway) - assignment.totalCount(newGateway);
            if (serviceDifference >= 2 && totalDifference >= 0 || serviceDifference >= 1 && totalDifference >= 2) {
                assignment.adjustCount(server.target(), currentGateway, -1);
                assignment.adjustCount(server.target(), newGateway, 1);
                gatewayByServer.put(server.id(), newGateway);
            }
        }
    }

    private void adjustCount(String service, String gateway, int delta) {
        totalCounts.merge(gateway, delta, Integer::sum);
        countsByService.computeIfAbsent(service, t -> new HashMap<>()).merge(gateway, delta, Integer::sum);
    }

    private int serviceCount(String service, String gateway) {
        return countsByService.getOrDefault(service, Map.of()).getOrDefault(gateway, 0);
    }

    private int totalCount(String gateway) {
        return totalCounts.getOrDefault(gateway, 0);
    }

    /**
     * The gateway with the fewest servers of the service, then of all services, then with the highest rendezvous
     * weight.
     */
    private String leastLoaded(RegistryPage.RegisteredServer server) {
        String best = null;
        for (String gateway : gateways) {
            if (best == null || compareLoad(server, gateway, best) < 0) {
                best = gateway;
            }
        }
        return best;
    }

    private int compareLoad(RegistryPage.RegisteredServer server, String left, String right) {
        int order = Integer.compare(serviceCount(server.target(), left), serviceCount(server.target(), right));
        if (order == 0) {
            order = Integer.compare(totalCount(left), totalCount(right));
        }
        return order != 0
                ? order
                : Long.compare(RendezvousHash.weight(server.id(), right), RendezvousHash.weight(server.id(), left));
    }
}
