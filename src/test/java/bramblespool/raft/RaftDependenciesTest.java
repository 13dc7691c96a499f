package bramblespool.raft;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import bramblespool.state.ReplicatedState;
import bramblespool.state.RoutingConfiguration;
import bramblespool.state.Settings;
import com.fasterxml.jackson.databind.JsonNode;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

class RaftDependenciesTest {
    private final JavaClasses raft = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("bramblespool.raft");

    @Test
    void raftKnowsNothingOfWhatItReplicates() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .belongToAnyOf(ReplicatedState.class, RoutingConfiguration.class, Settings.class)
                .check(raft);
    }

    @Test
    void onlyCodecsAndTheWayInReadJson() {
        noClasses()
                .that()
                .haveSimpleNameNotEndingWith("Codec")
                .and()
                .doNotBelongToAnyOf(RaftNode.class, RequestDispatcher.class, RaftTransport.class)
                .should()
                .dependOnClassesThat()
                .belongToAnyOf(JsonNode.class)
                .check(raft);
    }
}
