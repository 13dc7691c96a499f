package bramblespool;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
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
}
