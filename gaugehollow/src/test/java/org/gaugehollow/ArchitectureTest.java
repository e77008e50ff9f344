/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.Test;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;

/** Checks the layering of the packages and restrictions on the use of clocks and network. */
class ArchitectureTest
{
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("org.gaugehollow");

    @Test
    void lowerLayersNeverAccessHigherLayers()
    {
        layeredArchitecture().consideringOnlyDependenciesInAnyPackage("org.gaugehollow..").layer("model")
                .definedBy("..model..").layer("event").definedBy("..event..").layer("net")
                .definedBy("..net..").layer("supervise").definedBy("..supervise..").layer("settings")
                .definedBy("..settings..").layer("placement").definedBy("..placement..").layer("platform")
                .definedBy("..platform..").layer("upstream").definedBy("..upstream..").layer("peer")
                .definedBy("..peer..").layer("config").definedBy("..config..").layer("membership")
                .definedBy("..membership..").layer("keys").definedBy("..keys..").layer("entry")
                .definedBy("..entry..").layer("job").definedBy("..job..").layer("worker")
                .definedBy("..worker..").layer("admission").definedBy("..admission..").layer("speculation")
                .definedBy("..speculation..").layer("urgency").definedBy("..urgency..").layer("schedule")
                .definedBy("..schedule..").layer("box").definedBy("..box..").whereLayer("box")
                .mayNotBeAccessedByAnyLayer().whereLayer("schedule").mayOnlyBeAccessedByLayers("box")
                .whereLayer("worker").mayOnlyBeAccessedByLayers("schedule", "box").whereLayer("admission")
                .mayOnlyBeAccessedByLayers("schedule", "box").whereLayer("job")
                .mayOnlyBeAccessedByLayers("admission", "schedule", "box").whereLayer("entry")
                .mayNotBeAccessedByAnyLayer().whereLayer("keys").mayOnlyBeAccessedByLayers("entry")
                .whereLayer("membership").mayOnlyBeAccessedByLayers("keys", "entry").whereLayer("config")
                .mayOnlyBeAccessedByLayers("membership", "keys", "entry").whereLayer("peer")
                .mayOnlyBeAccessedByLayers("membership", "keys", "entry", "box").whereLayer("upstream")
                .mayOnlyBeAccessedByLayers("entry").whereLayer("platform")
                .mayOnlyBeAccessedByLayers("config", "membership", "entry", "schedule", "box")
                .whereLayer("placement").mayOnlyBeAccessedByLayers("config", "entry", "schedule", "box")
                .whereLayer("urgency")
                .mayOnlyBeAccessedByLayers("admission", "speculation", "schedule", "box")
                .whereLayer("speculation").mayOnlyBeAccessedByLayers("schedule", "box").whereLayer("settings")
                .mayOnlyBeAccessedByLayers("entry").check(CLASSES);
    }

    /** Guards against leases measured with a clock that stops while the machine is suspended. */
    @Test
    void onlySteadyClockReadsNanoTime()
    {
        ArchRuleDefinition.noClasses().that().doNotHaveSimpleName("SteadyClock").should()
                .callMethod(System.class, "nanoTime").check(CLASSES);
    }

    @Test
    void placementDependsOnNeitherNetworkNorClocks()
    {
        ArchRuleDefinition.noClasses().that().resideInAPackage("..placement..").should().dependOnClassesThat()
                .resideInAnyPackage("io.netty..", "java.net..").check(CLASSES);
        ArchRuleDefinition.noClasses().that().resideInAPackage("..placement..").should()
                .callMethod(SteadyClock.class, "nanos").orShould()
                .callMethod(System.class, "currentTimeMillis").check(CLASSES);
    }

    /**
     * Guards against decisions that can't be replayed because they read a clock or keep state
     * elsewhere.
     */
    @Test
    void urgencyDependsOnNoOtherPackage()
    {
        ArchRuleDefinition.classes().that().resideInAPackage("..urgency..").should().onlyDependOnClassesThat()
                .resideInAnyPackage("..urgency..", "java.lang..", "java.util..").check(CLASSES);
        ArchRuleDefinition.noClasses().that().resideInAPackage("..urgency..").should()
                .callMethod(System.class, "currentTimeMillis").check(CLASSES);
    }

    @Test
    void fairnessDependsOnNothingButModel()
    {
        ArchRuleDefinition.noClasses().that().resideInAPackage("..fairness..").should()
                .dependOnClassesThat(JavaClass.Predicates.resideInAPackage("org.gaugehollow..")
                        .and(DescribedPredicate.not(JavaClass.Predicates.resideInAnyPackage(
                                "org.gaugehollow.fairness..", "org.gaugehollow.model.."))))
                .orShould().dependOnClassesThat().resideInAnyPackage("io.netty..", "java.net..").orShould()
                .callMethod(System.class, "currentTimeMillis").check(CLASSES);
        ArchRuleDefinition.noClasses().that().resideOutsideOfPackages("..fairness..", "..schedule..").should()
                .dependOnClassesThat().resideInAPackage("..fairness..").check(CLASSES);
    }
    /** Guards against a decision that depends on more than its inputs. */
    @Test
    void admissionDependsOnNeitherNetworkNorStoreNorClocks()
    {
        ArchRuleDefinition.noClasses().that().resideInAPackage("..admission..").should().dependOnClassesThat()
                .resideInAnyPackage("io.netty..", "java.net..", "..platform..", "..time..").check(CLASSES);
        ArchRuleDefinition.noClasses().that().resideInAPackage("..admission..").should()
                .callMethod(System.class, "currentTimeMillis").check(CLASSES);
    }
}
