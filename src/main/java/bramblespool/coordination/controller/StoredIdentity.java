package bramblespool.coordination.controller;

import bramblespool.raft.RaftNode;
import bramblespool.state.DurableStore;
import bramblespool.state.Settings;
import java.util.List;

/**
 * What a controller's store says of it when the process starts; an empty store is initialized first. The founding
 * members of a group begin with the same log entry, which names them all; any other member begins with an empty log,
 * under an incarnation of its own, and joins.
 *
 * @param memberId peer address and incarnation, as consensus names this member
 * @param hasFreshStore whether this process founded its store: nothing was ever granted under it before
 * @param hasLostStore whether the store was empty though the system has run before: a disk was lost, or is new
 */
record StoredIdentity(
        String memberId, DurableStore.PersistentState state, boolean hasFreshStore, boolean hasLostStore) {
    /** @param newIncarnation the incarnation of a member that joins with an empty store */
    static StoredIdentity load(Settings settings, DurableStore store, String newIncarnation) {
        boolean isEmpty = store.isEmpty();
        boolean hasFreshStore = isEmpty && settings.isBootstrap() && !store.hasQuarantinedDatabase();
        if (isEmpty) {
            List<String> founders =
                    settings.seedPeers().stream().map(settings::peerAddressOf).toList();
            boolean isFounder = hasFreshStore && founders.contains(settings.peerAddress());
            store.initialize(
                    isFounder ? RaftNode.FOUNDER_INCARNATION : newIncarnation,
                    isFounder ? List.of(RaftNode.foundingEntry(founders)) : List.of());
        }
        DurableStore.PersistentState state = store.load();
        return new StoredIdentity(
                settings.peerAddress() + "#" + state.incarnation(), state, hasFreshStore, isEmpty && !hasFreshStore);
    }
}
