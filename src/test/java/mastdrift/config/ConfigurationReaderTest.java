package mastdrift.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import mastdrift.Balancer.Group;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Repeat;
import mastdrift.Balancer.RequestClass;
import mastdrift.limits.PhaseBounds;
import mastdrift.membership.ChangeGuards;
import mastdrift.membership.ChangeGuards.Guard;
import mastdrift.membership.ListedHost;
import mastdrift.membership.Membership;
import mastdrift.membership.Node;
import mastdrift.membership.PoolList;
import mastdrift.routing.Match;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The meaning of the operator's files, and how each kind of mistake in them is reported. */
class ConfigurationReaderTest {

    private final Map<String, String> files = Samples.files();

    private Configuration readWithoutProblems() {
        ConfigurationReader.Result result = Samples.read(files);
        assertEquals(List.of(), result.problems());
        return result.configuration();
    }

    @Test
    void readsAllValuesOfValidFiles() {
        Configuration read = readWithoutProblems();
        assertEquals(new GatewaySettings("g", "127.0.0.1:0", "bilbao", List.of("bilbao", "oviedo"), 0, 1, 1024,
                PhaseBounds.DEFAULT, null, 50_000),
                read.gateway());
        assertEquals(new RequestClass("session-start", 600_000, 0, 1_500_000, 1, 0.5, Repeat.KEYED, Group.ZONE, 1_500_000,
                false), read.classes().get(1));
        assertEquals(100, read.tenants().get(0).quotaPerSecond());
        assertEquals(new ChangeGuards.Limits(0.25, 1, false, false), read.pools().get("spare").guards());
        assertEquals(ChangeGuards.Limits.DEFAULTS, read.pools().get("main").guards());
        assertEquals(250_000, read.pools().get("main").rules().drainGrace());
        assertEquals(new Match("session-read", null, "/api/x", "X-Canary", "1", null), read.routes().get(0).match());
        assertEquals("main", read.routes().get(0).fallback());
        assertEquals(3, read.routes().get(0).targets().get(1).weight());
        assertEquals(Guard.POOL_DROP, read.overrides().get(0).guard());
        assertEquals(10, read.nodes().get("main").size());
        Node first = read.nodes().get("main").get(0);
        assertEquals(new Node("main-0", first.endpoint(), "bilbao", null, null, 1.5, Health.UP, 0, "main.toml:2:1"), first);
        assertEquals(List.of("gateway.toml", "main.toml", "spare.toml"), Samples.read(files).files());
    }

    @Test
    void readsANodeWithAllKeys() {
        files.put("main.toml", "[[node]]\nuid = \"n\"\nendpoint = \"[::1]:80\"\nzone = \"oviedo\"\ncell = 3\nkind = \"k\"\n"
                + "weight = 2\nstate = \"drain\"\nstarted_ms = 5\n# end of 1 nodes");
        assertEquals(new Node("n", "[::1]:80", "oviedo", 3, "k", 2.0, Health.LEAVING, 5000, "main.toml:1:1"),
                readWithoutProblems().nodes().get("main").get(0));
    }

    @Test
    void routesEverythingToASinglePoolWithoutRoutes() {
        files.put("gateway.toml", Samples.GATEWAY.replaceAll("(?s)\\[pool.spare].*# end", "# end"));
        assertEquals(Match.ANY, readWithoutProblems().routes().get(0).match());
    }

    /** Each row: the file, the text that is replaced, its replacement, and a part of the single problem expected. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "gateway.toml | zone = \"bilbao\" | zone = \"bilbo\" | gateway.toml:4:1: gateway.zone: expected one of zones (bilbao, oviedo), found \"bilbo\"; did you mean bilbao?",
        "gateway.toml | listen = \"127.0.0.1:0\" | listen = \"localhost:80\" | gateway.toml:3:1: gateway.listen: expected ADDRESS:PORT in digits, found \"localhost:80\"",
        "gateway.toml | listen = \"127.0.0.1:0\" | listen = \"127.0.0.256:80\" | expected ADDRESS:PORT",
        "gateway.toml | listen = \"127.0.0.1:0\" | listen = \"127.0.0.1:65536\" | expected ADDRESS:PORT",
        "gateway.toml | listen = \"127.0.0.1:0\" | listen = 8080 | expected a text, found 8080",
        "gateway.toml | listen = \"127.0.0.1:0\" | lisen = \"127.0.0.1:0\" | did you mean listen?",
        "gateway.toml | name = \"g\" | gateways = 0 | gateway.gateways: expected a whole number from 1 to 8200, found 0",
        "gateway.toml | name = \"g\" | gateways = 8201 | gateway.gateways: expected a whole number from 1 to 8200, found 8201",
        "gateway.toml | name = \"g\" | gateways = 8200%nnumber = 8200 | gateway.number: expected a whole number from 0 to 8199, found 8200",
        "gateway.toml | name = \"g\" | number = 1 | gateway.number: expected a whole number from 0 to 0, found 1",
        "gateway.toml | name = \"g\" | settle = 50 | gateway.settle: expected a time with a unit (us, ms, s, m) from 20ms to 10s, found 50",
        "gateway.toml | name = \"g\" | settle = \"1ms\" | found \"1ms\"",
        "gateway.toml | name = \"g\" | name = \"g g\" | expected up to 64 letters",
        "gateway.toml | name = \"g\" | name = \"g | gateway.toml:2:",
        "gateway.toml | effect = \"safe\" | effect = \"safest\" | class[1].effect: expected one of safe, keyed, unsafe, found \"safest\"",
        "gateway.toml | effect = \"safe\" | # | class[1].effect: expected safe, keyed or unsafe, found nothing",
        "gateway.toml | effect = \"safe\" | effect = \"safe\"%ngroup = \"zone\" | are for keyed classes only",
        "gateway.toml | dedup_window = \"1500ms\" | # | class[2].dedup_window: expected a time",
        "gateway.toml | aim = \"600ms\"%ndeadline = \"2500ms\" | aim = \"3s\"%ndeadline = \"2500ms\" | expected no more than the deadline",
        "gateway.toml | name = \"session-start\" | name = \"session-read\" | gateway.toml:14:1: class[2].name: expected each once, found \"session-read\" again",
        "gateway.toml | requests_per_second = 100 | requests_per_second = -1 | expected a number from 0.001 to 10000000, found -1",
        "gateway.toml | requests_per_second = 100 | requests_per_second = nan | found NaN",
        "gateway.toml | nodes = [\"main.toml\"] | nodes = [] | expected nodes = [\"FILE\"] or discovery",
        "gateway.toml | nodes = [\"main.toml\"] | nodes = [\"spare.toml\"] | spare.toml: expected in exactly one pool, found again in pool spare",
        "gateway.toml | nodes = [\"main.toml\"] | nodes = [\"none.toml\"] | none.toml: expected a file, found none",
        "gateway.toml | nodes = [\"main.toml\"] | nodes = [\"main.toml\", 3] | expected an array of at most 1620 texts",
        "gateway.toml | pool_drop_most = 0.25 | pool_drop_most = 1.5 | pool.spare.guards.pool_drop_most: expected a number from 0 to 1, found 1.5",
        "gateway.toml | pool_drop_most = 0.25 | pool_drop = 0.25 | did you mean pool_drop_most?",
        "gateway.toml | fallback = \"main\" | fallback = \"mian\" | did you mean main?",
        "gateway.toml | pools = { main = 1, spare = 3 } | pools = { main = 1, sparse = 3 } | did you mean spare?",
        "gateway.toml | pools = { main = 1, spare = 3 } | pools = { main = 0, spare = 0 } | expected a pool with a weight above 0",
        "gateway.toml | pools = { main = 1, spare = 3 } | pools = { main = -1, spare = 3 } | route[1].pools.main: expected a number from 0 to 1000000, found -1",
        "gateway.toml | class = \"session-read\" | class = \"session\" | expected one of those defined",
        "gateway.toml | path = \"/api/x\" | path = \"api\" | expected a path that begins with /",
        "gateway.toml | guard = \"pool-drop\" | guard = \"pool\" | expected one of pool-drop, zone-drop, zone-empty, weight-zero",
        "gateway.toml | guard = \"pool-drop\" | # | expected guard, pool and version",
        "gateway.toml | # end | # ende | expected the closing line \"# end\" (the file may be truncated), found \"# ende\"",
        "gateway.toml | # end | # end%nx = 1 | expected the closing line as the last one",
        "gateway.toml | # end | # end of 3 nodes | expected the closing line \"# end\"",
        "main.toml | # end of 10 nodes | # end of 9 nodes | main.toml:62:1: expected the closing line \"# end of 10 nodes\"",
        "main.toml | uid = \"main-1\" | uid = \"main-0\" | main.toml:9:1: node[2].uid: expected in one place alone, found \"main-0\" at main.toml:2:1 too",
        "main.toml | uid = \"main-1\" | uid = \"spare-1\" | spare.toml:9:1: node[2].uid: expected in one place alone, found \"spare-1\" at main.toml:8:1 too",
        "main.toml | :1001\" | :1000\" | node[2].endpoint: expected in one place alone",
        "main.toml | uid = \"main-1\" | # | node[2].uid: expected a text, found nothing",
        "main.toml | zone = \"oviedo\" | zone = \"oveido\" | expected one of those defined (bilbao, oviedo), found \"oveido\"; did you mean oviedo?",
        "main.toml | zone = \"oviedo\" | # | expected one of the zones, found nothing",
        "main.toml | endpoint = \"127 | # endpoint = \"127 | expected ADDRESS:PORT, found nothing",
        "main.toml | weight = 1.5 | weight = -0.5 | expected a number from 0 to 1000000, found -0.5",
        "main.toml | weight = 1.5 | weight = \"1.5\" | expected a number from 0 to 1000000, found \"1.5\"",
        "main.toml | weight = 1.5 | weight = inf | found Infinity",
        "main.toml | weight = 1.5 | state = \"down\" | expected one of up, drain, found \"down\"",
        "main.toml | weight = 1.5 | weight = 1.5%nweight = 2 | main.toml:7",
        "main.toml | [[node]] | [[nodes]] | did you mean node?"})
    void reportsEachMistakeWithItsLocation(String file, String text, String replacement, String expectedProblem) {
        String before = files.get(file);
        String after = before.replaceFirst(Pattern.quote(text.replace("%n", "\n")),
                Matcher.quoteReplacement(replacement.replace("%n", "\n")));
        assertNotEquals(before, after, "the text of the row occurs in the file");
        files.put(file, after);
        ConfigurationReader.Result result = Samples.read(files);
        assertNull(result.configuration());
        assertTrue(result.problems().stream().anyMatch(line -> line.contains(expectedProblem)),
                expectedProblem + " in " + result.problems());
    }

    @Test
    void reportsAllProblemsAtOnceUpToTheMaximum() {
        files.put("gateway.toml", Samples.GATEWAY.replace("effect = \"safe\"", "effect = 1").replace("fallback = \"main\"",
                "fallback = \"x\""));
        files.put("main.toml", files.get("main.toml").replace("uid = \"main-3\"", "uid = 3"));
        assertEquals(3, Samples.read(files).problems().size());
        files.put("main.toml",
                files.get("main.toml").replace("weight = 1.5", "weight = -1").replace("zone = \"bilbao\"",
                "zone = \"x\""));
        files.put("spare.toml", files.get("spare.toml").replace("weight = 1.5", "weight = -1"));
        List<String> many = Samples.read(files).problems();
        assertEquals(Problems.MAX_REPORTED + 1, many.size());
        assertEquals("and 9 more", many.get(Problems.MAX_REPORTED));
    }

    /** A list of {@code count} nodes, numbered from {@code first} across all lists. */
    private static String nodeList(int first, int count) {
        StringBuilder text = new StringBuilder();
        for (int i = first; i < first + count; i++) {
            text.append("[[node]]\nuid = \"n-").append(i).append("\"\nendpoint = \"127.1.").append(i / 50_000).append(".1:")
                    .append(i % 50_000 + 1).append("\"\nzone = \"").append(i % 2 == 0 ? "bilbao" : "oviedo").append("\"\n");
        }
        return text + "# end of " + count + " nodes\n";
    }

    /** A configuration at all limits at once: pools with a list each, nodes, routes, gateways. */
    private static Map<String, String> filesOfSize(int pools, int nodes, int routes) {
        Map<String, String> files = new TreeMap<>();
        StringBuilder gateway = new StringBuilder(Samples.GATEWAY.substring(0, Samples.GATEWAY.indexOf("[pool.main]"))
                .replace("name = \"g\"\n", "gateways = 8200\nnumber = 8199\n"));
        for (int i = 0; i < pools; i++) {
            int first = (int) ((long) nodes * i / pools);
            files.put("p" + i + ".toml", nodeList(first, (int) ((long) nodes * (i + 1) / pools) - first));
            gateway.append("[pool.p").append(i).append("]\nnodes = [\"p").append(i).append(".toml\"]\n");
        }
        for (int i = 0; i < routes; i++) {
            gateway.append("[[route]]\nname = \"r").append(i).append("\"\npath = \"/r").append(i)
                    .append("\"\npools = { p0 = 1 }\n");
        }
        files.put("gateway.toml", gateway.append("# end\n").toString());
        return files;
    }

    /** Guards against a limit in the code that reading can't sustain. */
    @Test
    void readsConfigurationsAtTheLimits() {
        ConfigurationReader.Result result = Samples.read(filesOfSize(1_620, 94_000, 1_000));
        assertEquals(List.of(), result.problems());
        Configuration read = result.configuration();
        assertEquals(1_620, read.pools().size());
        assertEquals(94_000, read.nodes().values().stream().mapToInt(List::size).sum());
        assertEquals(1_000, read.routes().size());
        assertEquals(8_200, read.gateway().gatewayCount());
        assertEquals(1 + 1_620, result.files().size());
        files.put("main.toml", nodeList(0, 20_000));
        assertEquals(20_000, readWithoutProblems().nodes().get("main").size());
    }

    /** One beyond each limit; nothing of such a set is read. */
    @Test
    void rejectsConfigurationsBeyondTheLimits() {
        assertRejected(filesOfSize(5, 94_001, 1), "all lists: expected at most 94000 nodes, found 94001");
        assertRejected(filesOfSize(1_621, 0, 1), "pool: expected at most 1620 tables, found 1621");
        assertRejected(filesOfSize(1, 2, 1_001), ".route: expected at most 1000 tables");
        files.put("main.toml", nodeList(0, 20_001));
        assertRejected(files, ".node: expected at most 20000 tables");
        files.put("main.toml", "# end of 0 nodes\n");
        List<String> names = new ArrayList<>();
        for (int i = 0; i <= Configuration.MAX_NODE_LIST_FILES; i++) {
            names.add("\"n" + i + ".toml\"");
            files.put("n" + i + ".toml", "# end of 0 nodes\n");
        }
        files.put("gateway.toml", Samples.GATEWAY.replace("\"main.toml\"", String.join(", ", names)));
        assertRejected(files, "expected an array of at most 1620 texts");
        files.put("gateway.toml", Samples.GATEWAY.replace("\"main.toml\"", String.join(", ", names.subList(1, names.size()))));
        assertRejected(files, "spare.toml: expected at most 1620 files");
    }

    private static void assertRejected(Map<String, String> files, String expectedProblem) {
        ConfigurationReader.Result result = Samples.read(files);
        assertNull(result.configuration());
        assertTrue(result.problems().stream().anyMatch(line -> line.contains(expectedProblem)), expectedProblem + " in " + result.problems());
    }

    @Test
    void nodeListVersionDependsOnlyOnTheNodes() {
        String before = readWithoutProblems().nodeListVersions().get("main");
        files.put("main.toml", "# another comment\n" + files.get("main.toml"));
        assertEquals(before, readWithoutProblems().nodeListVersions().get("main"));
        files.put("main.toml", files.get("main.toml").replaceFirst("weight = 1.5", "weight = 1.6"));
        assertNotEquals(before, readWithoutProblems().nodeListVersions().get("main"));
    }

    /**
     * A truncated file: cut at any byte, each file is rejected, except for a cut just before the last line's end, which
     * leaves all of its content.
     */
    @Test
    void rejectsEveryTruncatedFile() {
        for (String file : List.of("gateway.toml", "main.toml")) {
            String whole = Samples.files().get(file);
            assertTrue(whole.endsWith("\n"));
            for (int length = 0; length < whole.length() - 1; length++) {
                files.put(file, whole.substring(0, length));
                assertNull(Samples.read(files).configuration(), file + " cut at " + length);
            }
            files.put(file, whole.substring(0, whole.length() - 1));
            assertNotNull(Samples.read(files).configuration());
            files.put(file, whole);
        }
    }

    /**
     * A file overwritten in place by a shorter one but not yet truncated: the new head and the old tail, split at any
     * byte. It is rejected, or happens to be a set that the guards allow.
     */
    @Property(tries = 400, seed = "17")
    void partlyOverwrittenFileIsRejectedOrWithinTheGuards(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        String old = Samples.nodes("main", 6, 4);
        String next = Samples.nodes("main", 1 + random.nextInt(5), random.nextInt(4));
        int cut = random.nextInt(next.length());
        Map<String, String> mixed = Samples.files();
        mixed.put("main.toml", next.substring(0, cut) + old.substring(Math.min(old.length(), cut)));
        assertRejectedOrWithinGuards(mixed);
    }

    /** One random edit of a good file: a byte or a line removed, duplicated or changed. */
    @Property(tries = 1500, seed = "18")
    void randomlyEditedFileIsRejectedOrWithinTheGuards(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, String> edited = Samples.files();
        String file = random.nextBoolean() ? "main.toml" : "gateway.toml";
        edited.put(file, randomEdit(random, edited.get(file)));
        assertRejectedOrWithinGuards(edited);
    }

    private static String randomEdit(SplittableRandom random, String text) {
        int at = random.nextInt(text.length());
        int from = text.lastIndexOf('\n', at) + 1;
        int to = text.indexOf('\n', at) + 1;
        return switch (random.nextInt(6)) {
            case 0 -> text.substring(0, at) + text.substring(at + 1);
            case 1 -> text.substring(0, at) + (char) (32 + random.nextInt(95)) + text.substring(at);
            case 2 -> text.substring(0, at) + (char) (32 + random.nextInt(95)) + text.substring(at + 1);
            case 3 -> text.substring(0, from) + text.substring(to);
            case 4 -> text.substring(0, to) + text.substring(from);
            default -> text.substring(0, at) + text.substring(Math.min(text.length(), at + random.nextInt(400)));
        };
    }

    /** Recounts independently rather than calling the guards themselves. */
    private static void assertRejectedOrWithinGuards(Map<String, String> changed) {
        Configuration old = Samples.read(Samples.files()).configuration();
        Configuration next = Samples.read(changed).configuration();
        if (next == null) {
            return;
        }
        Membership membership = new Membership();
        Map<String, PoolList> before = new TreeMap<>(membership.applyFiles(0, old.configuredNodes()));
        Map<String, PoolList> after = membership.preview(0, next.configuredNodes());
        List<ChangeGuards.Violation> trips = new ArrayList<>();
        after.forEach((pool, list) ->
                trips.addAll(ChangeGuards.findViolations(next.pools().get(pool).guards(), before.get(pool), list)));
        if (trips.isEmpty()) {
            after.forEach((pool, list) -> {
                List<String> accepting = acceptingHosts(list, null);
                long lost = acceptingHosts(before.get(pool), null).stream().filter(uid -> !accepting.contains(uid))
                        .count();
                assertTrue(lost <= next.pools().get(pool).guards().maxPoolDropFraction() * 10, pool + " lost " + lost);
                assertTrue(!acceptingHosts(list, "bilbao").isEmpty() && !acceptingHosts(list, "oviedo").isEmpty(), pool + " lost a zone");
            });
        }
    }

    private static List<String> acceptingHosts(PoolList poolList, String zone) {
        return poolList.hosts().stream().filter(ListedHost::acceptsNewRequests).filter(host -> zone == null || host.host().zone().equals(zone))
                .map(host -> host.host().address()).toList();
    }
}
