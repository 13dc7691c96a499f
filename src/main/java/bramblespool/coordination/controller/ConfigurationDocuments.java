package bramblespool.coordination.controller;

import bramblespool.state.ReplicatedState;
import bramblespool.state.RoutingConfiguration;
import java.util.List;
import java.util.Optional;

/** Hands out the documents of the version in force and of the one before it. Confined to the event loop. */
final class ConfigurationDocuments {
    private final ReplicatedState replicatedState;

    ConfigurationDocuments(ReplicatedState replicatedState) {
        this.replicatedState = replicatedState;
    }

    /** The compressed document that is asked for; empty where this controller has none such. */
    Optional<String> find(DocumentRequest request) {
        for (ReplicatedState.Version version : List.of(replicatedState.current(), replicatedState.previous())) {
            if (version.epoch() == request.epoch()
                    && version.compressedDocument() != null
                    && hasStamp(version, request.stamp())) {
                return Optional.of(version.compressedDocument());
            }
        }
        return Optional.empty();
    }

    private static boolean hasStamp(ReplicatedState.Version version, String stamp) {
        return stamp.isEmpty() || stamp.equals(RoutingConfiguration.stampOf(version.compressedDocument()));
    }
}
