package bramblespool;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import com.tngtech.archunit.library.Architectures;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;
import org.junit.jupiter.api.Test;

/** What the packages may depend on. */
class ArchitectureTest {
    private static final JavaClasses MAIN_CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("bramblespool");

    @Test
    void coordinationPackagesHaveNoCycles() {
        SlicesRuleDefinition.slices()
                .matching("bramblespool.coordination.(*)..")
                .should()
                .beFreeOfCycles()
                .check(MAIN_CLASSES);
    }

    @Test
    void dependenciesGoDownwardsOnly() {
        Architectures.layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("cli")
                .definedBy("bramblespool.cli..")
                .layer("process")
                .definedBy("bramblespool.process..")
                .layer("proxy")
                .definedBy("bramblespool.proxy..")
                .layer("coordination")
                .definedBy("bramblespool.coordination..")
                .layer("protocol")
                .definedBy("bramblespool.protocol..")
                .layer("transport")
                .definedBy("bramblespool.transport..")
                .layer("raft")
                .definedBy("bramblespool.raft..")
                .layer("state")
                .definedBy("bramblespool.state..")
                .whereLayer("cli")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("process")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("proxy")
                .mayOnlyBeAccessedByLayers("process")
                .whereLayer("coordination")
                .mayOnlyBeAccessedByLayers("process", "proxy")
                .whereLayer("raft")
                .mayOnlyBeAccessedByLayers("cli", "process", "proxy", "coordination")
                .whereLayer("protocol")
                .mayOnlyBeAccessedByLayers("cli", "process", "proxy", "coordination")
                .whereLayer("transport")
                .mayOnlyBeAccessedByLayers("cli", "process", "proxy", "coordination", "raft", "protocol")
                .whereLayer("state")
                .mayOnlyBeAccessedByLayers("cli", "process", "proxy", "coordination", "raft", "protocol", "transport")
                .check(MAIN_CLASSES);
    }

    @Test
    void coordinationAndRaftUseNeitherSocketsNorDatabase() {
        ArchRuleDefinition.noClasses()
                .that()
                .resideInAnyPackage("bramblespool.coordination..", "bramblespool.raft..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.undertow..", "org.xnio..", "java.sql..")
                .check(MAIN_CLASSES);
    }
}
