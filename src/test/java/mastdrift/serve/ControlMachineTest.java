package mastdrift.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import mastdrift.distribution.Change;
import mastdrift.distribution.ControlMessage;
import mastdrift.distribution.Edit;
import mastdrift.distribution.ResourceKind;
import mastdrift.distribution.Revision;
import mastdrift.standin.GatewayFiles;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs three voters in this process. */
@Timeout(180)
class ControlMachineTest {

    private static final int WAIT_SECONDS = 30;
    private static final int CHANGES_DURING_STOPS = 80;

    @TempDir
    private Path folder;

    private final List<String> events = new CopyOnWriteArrayList<>();
    private final Map<String, ControlMachine> machines = new HashMap<>();
    private String addressPrefix;

    @BeforeEach
    void writeFiles() throws Exception {
        addressPrefix = "127." + (64 + ProcessHandle.current().pid() % 128) + ".253.";
        Files.writeString(folder.resolve("key"), "a key of this test");
        writeFiles(1);
        for (int i = 1; i <= 3; i++) {
            start("c" + i);
        }
    }

    private void writeFiles(int epoch) throws Exception {
        for (int i = 1; i <= 3; i++) {
            StringBuilder content = new StringBuilder("[distribution]\nname = \"c" + i + "\"\nrole = \"voter\"\nfolder = \"state\"\nepoch = " + epoch + "\ninstallation = \"test\"\n[[distribution.key]]\nsecret_file = \"../key\"\n");
            for (int j = 1; j <= 3; j++) {
                content.append("[[distribution.machine]]\nname = \"c").append(j).append("\"\naddress = \"").append(addressPrefix).append(j).append(":7500\"\nzone = \"z\"\nrole = \"voter\"\n");
            }
            new GatewayFiles(Files.createDirectories(folder.resolve("c" + i))).save("control.toml", content
                    + "# end\n");
        }
    }

    private void start(String name) {
        machines.put(name, ControlMachine.start(folder.resolve(name).resolve("control.toml"), (level, event, text, fields) -> {
            if (!event.equals("config_decided")) {
                events.add(name + " " + event + " " + text);
            }
        }));
    }

    @AfterEach
    void close() {
        machines.values().forEach(ControlMachine::close);
    }

    private ControlClient client() {
        return ControlClient.fromFile(folder.resolve("c1").resolve("control.toml"));
    }

    /** A change of some 25 KiB that can't be compressed: of 240 of them the log keeps only the last 4 MiB. */
    private static Change change(int number) {
        Random random = new Random(number);
        List<Edit> edits = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            String pools = IntStream.range(0, 60).mapToObj(pool -> "{\"pool\":\"" + letters(random, 60) + "\",\"weight\":1}").collect(Collectors.joining(","));
            String value = "{\"order\":1,\"path\":\"/" + letters(random, 1_000) + "\",\"pools\":[" + pools + "]}";
            edits.add(new Edit.Upsert(ResourceKind.ROUTE, "r-" + number % 5 + "-" + i, value.getBytes(StandardCharsets.UTF_8), Edit.ANY_VERSION));
        }
        return new Change("id-" + number, edits);
    }

    private static String letters(Random random, int count) {
        return random.ints(count, 'a', 'z' + 1).mapToObj(Character::toString).collect(Collectors.joining());
    }

    private void apply(int from, int to) throws Exception {
        List<CompletableFuture<Void>> writers = new ArrayList<>();
        int each = (to - from + 7) / 8;
        for (int first = from; first < to; first += each) {
            int begin = first;
            writers.add(CompletableFuture.runAsync(() -> {
                try (ControlClient client = client()) {
                    for (int i = begin; i < Math.min(to, begin + each); i++) {
                        ControlMessage answer = client.apply(change(i), WAIT_SECONDS * 1_000L);
                        assertTrue(answer instanceof ControlMessage.Applied, () -> answer + " " + events);
                    }
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }, task -> new Thread(task).start()));
        }
        for (CompletableFuture<Void> writer : writers) {
            writer.get(WAIT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private long revisionNumber(ControlClient client, String name) throws InterruptedException {
        return client.status(List.of(name)).get(name) instanceof ControlMessage.Status status ? status.revision().number() : -1;
    }

    /**
     * A voter that has lost its table, and whose log no longer has the first decisions, detects the gap, takes another
     * voter's table, and continues from there.
     */
    @Test
    void voterFetchesAnothersTableWhenItsLogLacksDecisions() throws Exception {
        apply(0, 240);
        try (ControlClient client = client()) {
            await(client, 240);
            machines.remove("c3").close();
            deleteTable("c3");
            start("c3");
            await(client, 240);
            assertTrue(events.stream().anyMatch(line -> line.startsWith("c3 config_catches_up")) && events.stream().anyMatch(line -> line.startsWith("c3 config_caught_up")), events.toString());
            apply(240, 250);
            await(client, 250);
            await(client, "c1", 250);  // c1 may receive the last decision later than c3
            Map<String, ControlMessage> all = client.status(List.of("c1", "c3"));
            assertEquals(((ControlMessage.Status) all.get("c1")).revision(), ((ControlMessage.Status) all.get("c3")).revision(), "equal revisions, including the hash");
        }
    }

    /**
     * Voters stop, one after the other, while changes are out at them: each writer hears the outcome of its change, which
     * another voter gives it where the one that it asked has stopped, and each change is applied once.
     */
    @Test
    void changesThatAreOutWhenAVoterStopsAreAppliedOnce() throws Exception {
        CompletableFuture<Void> writers = CompletableFuture.runAsync(() -> {
            try {
                apply(0, CHANGES_DURING_STOPS);
            } catch (Exception e) {
                throw new CompletionException(e);
            }
        });
        try (ControlClient client = client()) {
            for (String name : List.of("c1", "c2", "c3")) {
                machines.remove(name).close();
                start(name);
                await(client, name, 1);  // it takes part again
            }
            writers.get(2 * WAIT_SECONDS, TimeUnit.SECONDS);
            await(client, CHANGES_DURING_STOPS);
            assertEquals(CHANGES_DURING_STOPS, revisionNumber(client, "c3"));
        }
    }

    /**
     * A voter that can't write its copy reports it and continues from memory: its vote rests on its log, which is on a
     * disk that it can write.
     */
    @Test
    void voterReportsAndContinuesWhenItsCopyCannotBeWritten() throws Exception {
        // blocks the file to which the copy is written first
        Files.createDirectories(folder.resolve("c3").resolve("state").resolve("table").resolve("snapshot.new").resolve("no-file"));
        apply(0, 3);
        try (ControlClient client = client()) {
            await(client, 3);
            assertEquals(3, revisionNumber(client, "c3"));
        }
        for (long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS); events.stream().noneMatch(line -> line.startsWith("c3 config_folder_unwritten")); Thread.sleep(20)) {
            assertTrue(System.nanoTime() < until, events::toString);
        }
        assertTrue(events.stream().noneMatch(line -> line.startsWith("c1 config_folder_unwritten") || line.startsWith("c2 config_folder_unwritten")), events::toString);
    }

    private void deleteTable(String name) throws Exception {
        try (Stream<Path> files = Files.list(folder.resolve(name).resolve("state").resolve("table"))) {
            for (Path each : files.toList()) {
                Files.delete(each);
            }
        }
    }

    /**
     * Voters that were stopped at different revisions, one of them with its table lost, begin a later epoch from one
     * common table. Guards against voters that report themselves as current meanwhile, and against two that show
     * different states under one revision.
     */
    @Test
    void votersBeginALaterEpochFromOneTableWhenTheirTablesDiffer() throws Exception {
        apply(0, 8);
        try (ControlClient client = client()) {
            await(client, 8);
            machines.remove("c3").close();
            apply(8, 12);
        }
        machines.remove("c1").close();
        machines.remove("c2").close();
        deleteTable("c1");
        writeFiles(2);
        events.clear();
        for (int i = 1; i <= 3; i++) {
            start("c" + i);
        }
        try (ControlClient client = client()) {
            awaitAllCurrent(client, 1);
            ControlMessage answer = client.apply(change(12), WAIT_SECONDS * 1_000L);
            assertTrue(answer instanceof ControlMessage.Applied, () -> answer + " " + events);
            awaitAllCurrent(client, 2);
        }
        assertTrue(events.stream().anyMatch(line -> line.startsWith("c1 config_gap epoch 2 begins from")), events::toString);
        assertTrue(events.stream().noneMatch(line -> line.contains("config_forked")), events::toString);
    }

    /**
     * Waits until all three report themselves as current at that revision of epoch 2; any two that show the same
     * revision meanwhile must show the same state.
     */
    private void awaitAllCurrent(ControlClient client, long number) throws InterruptedException {
        Map<Long, Revision> shown = new HashMap<>();
        for (long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);; Thread.sleep(50)) {
            int current = 0;
            for (ControlMessage answer : client.status(List.of("c1", "c2", "c3")).values()) {
                if (answer instanceof ControlMessage.Status status && status.revision().epoch() == 2) {
                    Revision before = shown.putIfAbsent(status.revision().number(), status.revision());
                    assertTrue(before == null || before.equals(status.revision()), () -> before + " and " + status.revision() + " " + events);
                    current += status.revision().number() == number && status.disconnectedMillis() == 0 ? 1 : 0;
                }
            }
            if (current == 3) {
                return;
            }
            assertTrue(System.nanoTime() < until, () -> shown + " " + events);
        }
    }

    private void await(ControlClient client, long revision) throws InterruptedException {
        await(client, "c3", revision);
    }

    private void await(ControlClient client, String machine, long revision) throws InterruptedException {
        for (long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS); revisionNumber(client, machine) < revision; Thread.sleep(50)) {
            assertTrue(System.nanoTime() < until, events::toString);
        }
    }
}
