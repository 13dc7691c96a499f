package bramblespool.state;

import java.util.List;
import java.util.Map;

/**
 * What the platform tells a process in its settings file; docs/settings.md has the fields by their names there.
 * {@link SettingsParser} reads it. Texts that a file may leave out are empty then; addresses are {@code host:port}.
 *
 * @param node name of this machine
 * @param role role that the deploy file gives the process
 * @param machineClass kind of machine
 * @param ip address of this machine
 * @param zone zone of this machine, the unit of failure
 * @param region region of this machine
 * @param firstPort lowest of the ports that this process may use
 * @param lastPort highest of these ports
 * @param seedPeers control addresses of controllers to begin with
 * @param isBootstrap whether this controller may found the cluster
 * @param isVoter whether this controller is to vote from the beginning
 * @param dataDirectory where the durable store is
 * @param heartbeatIntervalMs how often a server sends its heartbeat
 * @param applicationAddress the server that a sidecar stands beside
 * @param serviceName the service of that server
 * @param zones the zones, each with its region
 * @param inboundAddress listener for requests from other proxies
 * @param outboundAddress listener for requests of clients
 * @param readinessAddress listener for the platform's readiness check
 * @param controlAddress listener for operators and heartbeats
 * @param deployment name of the deployment at the platform's registry
 * @param discovery where the list of servers comes from
 * @param platformAddress the platform's registry
 * @param platformRatePerSecond requests a second that the registry takes, 0 for no limit
 * @param platformLagMs by how much the registry's list may be behind
 * @param cpuShare processors that this process may use
 * @param memoryMb memory that it may use, 0 for no limit
 * @param maxFileDescriptors file descriptors that it may use, 0 for no limit
 * @param linkMbps megabits a second of this machine's link, 0 where it is not known
 * @param diskMb disk that it may use, 0 for no limit
 * @param tolerableMachineLosses machines that may be lost together without losing anything acknowledged
 * @param bounds times and ratios that the rules of the site set
 * @param usageReporting the usage reporting that this site asks for, or null where it asks for none
 */
public record Settings(
        String node,
        String role,
        String machineClass,
        String ip,
        String zone,
        String region,
        int firstPort,
        int lastPort,
        List<String> seedPeers,
        boolean isBootstrap,
        boolean isVoter,
        String dataDirectory,
        long heartbeatIntervalMs,
        String applicationAddress,
        String serviceName,
        Map<String, String> zones,
        String inboundAddress,
        String outboundAddress,
        String readinessAddress,
        String controlAddress,
        String deployment,
        Discovery discovery,
        String platformAddress,
        double platformRatePerSecond,
        long platformLagMs,
        double cpuShare,
        long memoryMb,
        long maxFileDescriptors,
        double linkMbps,
        long diskMb,
        int tolerableMachineLosses,
        Bounds bounds,
        UsageReporting usageReporting) {

    /** {@code machineClass} of a machine that outside clients come to. */
    static final String EDGE_MACHINE = "edge";
    /** {@code machineClass} of a machine with a server and its sidecar. */
    static final String SIDECAR_MACHINE = "sidecar";

    /** Where the list of servers comes from. The names in lower case are the values in the file. */
    public enum Discovery {
        /** The servers' own heartbeats. */
        STATIC,
        /** The platform's registry. */
        PLATFORM
    }

    /** How clients reach the data plane. The names in lower case are the values in the file. */
    public enum ClientEntry {
        /** On its own machines. */
        STATIC,
        /** Through an address of the platform. */
        VIRTUAL_IP
    }

    /**
     * The singleton role of reporting usage to the platform.
     *
     * @param callsPerSecond calls a second that the platform takes
     * @param leaseMs how long the role's lease holds, 0 where the site sets none
     * @param reportWindowMs length of the windows that usage is reported for
     * @param usageLateMs how long after a window's end its usage may be reported
     */
    public record UsageReporting(double callsPerSecond, long leaseMs, long reportWindowMs, long usageLateMs) {}

    /**
     * The figures of the rules that are in force at a site, as RULES-bramblespool.md uses them. A tolerance adds to a
     * time, an excess is a factor on a rate, an allowance is a number of requests on top.
     *
     * @param quietPeriodMs time without trouble after which a machine counts as in touch again
     * @param acknowledgementMs time for an operator's request to be acknowledged
     * @param catchUpMs time for which a machine that returns still counts as lost
     * @param drainMs time after which a draining server gets no request any more
     * @param shutdownGraceMs time for a process to end after SIGTERM
     * @param lossToleranceMs time after its last byte within which a request may be lost by planned work
     * @param applyMs time for a configuration to be in force after its acknowledgement
     * @param revertToleranceMs time for which an older version may still be seen after a newer one
     * @param stretchMs by how much an unsettled core may delay configurations and evacuations
     * @param retryRatio retries allowed for each request
     * @param retryWindowMs window over which retries are counted
     * @param retryAllowance retries allowed besides
     * @param slowStartExcess factor on the rate of a server in slow start
     * @param slowStartAllowance requests a second allowed besides
     * @param evacuationMs time for requests to cease after a zone's evacuation is acknowledged, 0 where no rule sets
     * one
     * @param recoveryMs time for service to be back after a loss of machines
     * @param idempotencyKeyWindowMs how long two attempts with one idempotency key must not both be executed
     * @param rateLimitWindowMs window over which a tenant's requests are counted
     * @param rateLimitExcess factor on a tenant's rate
     * @param rateLimitAllowance requests allowed besides
     */
    public record Bounds(
            long quietPeriodMs,
            long acknowledgementMs,
            long catchUpMs,
            long drainMs,
            long shutdownGraceMs,
            long lossToleranceMs,
            long applyMs,
            long revertToleranceMs,
            long stretchMs,
            double retryRatio,
            long retryWindowMs,
            double retryAllowance,
            double slowStartExcess,
            double slowStartAllowance,
            long evacuationMs,
            long recoveryMs,
            long idempotencyKeyWindowMs,
            long rateLimitWindowMs,
            double rateLimitExcess,
            double rateLimitAllowance) {}

    /** Whether this is a machine that outside clients come to. */
    public boolean isEdge() {
        return machineClass.equals(EDGE_MACHINE);
    }

    /** The address at which this process takes messages of other processes of the mesh. */
    public String peerAddress() {
        return ip + ":" + firstPort;
    }

    /** The peer address of a machine of which another address is known: the port is the same on all machines. */
    public String peerAddressOf(String address) {
        return address.substring(0, address.lastIndexOf(':') + 1) + firstPort;
    }
}
