package bramblespool.state;

import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.Architectures;
import org.junit.jupiter.api.Test;

/** The layers. */
class DocumentFormatTest {
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
                .check(new ClassFileImporter()
                        .withImportOption(new ImportOption.DoNotIncludeTests())
                        .importPackages("bramblespool"));
        com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses()
                .that()
                .resideInAnyPackage("bramblespool.coordination..", "bramblespool.raft..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.undertow..", "org.xnio..", "java.sql..")
                .check(new ClassFileImporter()
                        .withImportOption(new ImportOption.DoNotIncludeTests())
                        .importPackages("bramblespool"));
    }
}
