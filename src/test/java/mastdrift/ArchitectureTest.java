package mastdrift;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** The layers of the source: no package depends on one of a higher layer, and packages that decide do no I/O. */
class ArchitectureTest {

    /** From the lowest layer up; packages of one layer don't depend on each other. */
    private static final List<List<String>> LAYERS = List.of(List.of("mastdrift"),
            List.of("mastdrift.settings", "mastdrift.events", "mastdrift.tally"),
            List.of("mastdrift.membership", "mastdrift.radius", "mastdrift.routing",
                    "mastdrift.lateness", "mastdrift.limits", "mastdrift.lab.draw", "mastdrift.zones",
                    "mastdrift.peers", "mastdrift.agreed", "mastdrift.distribution"),
            List.of("mastdrift.config"), List.of("mastdrift.engine"),
            List.of("mastdrift.net", "mastdrift.files", "mastdrift.wire", "mastdrift.radius.edge",
                    "mastdrift.zones.edge", "mastdrift.peers.edge", "mastdrift.agreed.edge",
                    "mastdrift.distribution.edge", "mastdrift.lab.model", "mastdrift.logging"),
            List.of("mastdrift.serve", "mastdrift.standin", "mastdrift.lab.load"),
            List.of("mastdrift.lab"), List.of("mastdrift.lab.report"), List.of("mastdrift.lab.rig"),
            List.of("mastdrift.lab.flood"),
            List.of("mastdrift.lab.scale", "mastdrift.lab.soak"),
            List.of("mastdrift.cli", "mastdrift.measure"));

    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS).importPackages("mastdrift");

    @Test
    void layersDependOnlyOnLowerLayers() {
        for (int layer = 0; layer < LAYERS.size(); layer++) {
            for (String own : LAYERS.get(layer)) {
                List<String> others = new ArrayList<>(LAYERS.subList(layer, LAYERS.size()).stream()
                        .flatMap(List::stream)
                        .toList());
                others.remove(own);
                if (!others.isEmpty()) {
                    noClasses().that().resideInAPackage(own).should().dependOnClassesThat()
                            .resideInAnyPackage(others.toArray(new String[0])).check(CLASSES);
                }
            }
        }
    }

    @Test
    void decisionPackagesDoNoIo() {
        noClasses().that().resideInAnyPackage("mastdrift", "mastdrift.settings", "mastdrift.membership",
                "mastdrift.routing",
                "mastdrift.radius", "mastdrift.config", "mastdrift.lateness", "mastdrift.limits", "mastdrift.lab.draw",
                "mastdrift.zones", "mastdrift.peers", "mastdrift.agreed", "mastdrift.distribution").should()
                .dependOnClassesThat().resideInAnyPackage("java.net..",
                "java.io..", "java.nio.channels..", "java.nio.file..", "io.netty..", "java.util.concurrent..")
                .check(CLASSES);
    }

    /** The model runs on simulated time: it never blocks and reads no clock. */
    @Test
    void labModelUsesNoIoThreadsOrSystemTime() {
        noClasses().that().resideInAPackage("mastdrift.lab.model").should().dependOnClassesThat()
                .resideInAnyPackage("java.net..",
                "java.io..", "java.nio.channels..", "java.nio.file..", "io.netty..", "java.util.concurrent..")
                .check(CLASSES);
        noClasses().that().resideInAPackage("mastdrift.lab.model").should().callMethod(System.class, "nanoTime")
                .orShould().callMethod(System.class, "currentTimeMillis").check(CLASSES);
    }

    /**
     * Wall time may be wrong and may jump: each class that reads it is listed here with the purpose, and measures no
     * duration by it. All other classes are passed a clock.
     */
    @Test
    void onlyListedClassesReadWallTime() {
        Set<String> allowed = Set.of(
                // once, as the Unix time of the start; from then on advanced by the monotonic clock
                "mastdrift.engine.Clock",
                "mastdrift.serve.ZoneService",            // budget windows, by zones.StepFilteredClock, which smooths jumps
                // the number of a start, kept from going backwards by a file; times in the status
                "mastdrift.serve.PeerService",
                "mastdrift.serve.DistributionService",    // times in the status
                "mastdrift.serve.Service",                // times in the status
                "mastdrift.serve.ConfigCopy",             // the age of a copy as reported, never below 0
                "mastdrift.lab.soak.SoakPlay",            // starts of its servers, as the registry reports them
                "mastdrift.lab.load.LoadTape", "mastdrift.lab.scale.Scale");  // names and timestamps of results
        Set<String> readers = new TreeSet<>();
        CLASSES.forEach(type -> type.getMethodCallsFromSelf().stream()
                .filter(call -> Set.of("currentTimeMillis", "systemUTC", "now").contains(call.getTarget().getName())
                        && Set.of("java.lang.System", "java.time.Clock", "java.time.Instant")
                        .contains(call.getTargetOwner().getFullName())
                        && call.getTarget().getRawParameterTypes().isEmpty())
                .forEach(call -> readers.add(type.getFullName().replaceAll("[$].*", ""))));
        readers.removeAll(allowed);
        assertEquals(Set.of(), readers);
    }

    @Test
    void engineDependsOnNoProtocolLibrary() {
        noClasses().that().resideInAPackage("mastdrift.engine").should().dependOnClassesThat()
                .resideInAnyPackage("io.netty..", "org.tomlj..", "com.fasterxml..").check(CLASSES);
    }

    /** A new package needs a layer and a description. */
    @Test
    void everyPackageHasALayerAndADescription() throws IOException {
        Set<String> packages = new TreeSet<>();
        CLASSES.forEach(type -> packages.add(type.getPackageName()));
        assertEquals(new TreeSet<>(LAYERS.stream().flatMap(List::stream).toList()), packages);
        for (String name : packages) {
            assertTrue(Files.isRegularFile(Path.of("src/main/java", name.replace('.', '/'), "package-info.java")),
                    name);
        }
    }
}
