package mastdrift.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringReader;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import mastdrift.Balancer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Every setting, message and action of the simulator's protocol is passed on to or from the module, and absent settings
 * get their defaults.
 */
class AdapterMappingTest {

    private static final String REQUIRED_SETTINGS =
            "allowed.cancel=true allowed.probes=false allowed.parallel_tries=true"
            + " allowed.max_attempts=3 allowed.retry_after=true allowed.max_retry_after=9 allowed.dial_timeout=8"
            + " balancers=4 locality=a registry_mode=pushed weights=off guarantees.cold_from=0.2"
            + " guarantees.warm_within=7 guarantees.tip_multiple=3.5 guarantees.fall=6 classes.count=1"
            + " classes.0.name=r classes.0.target=1 classes.0.deadline=2 classes.0.credit=3.0"
            + " classes.0.late_share=0.25 classes.0.repeat=idempotency_key classes.0.group=cell"
            + " classes.0.dedup_window=5";
    private static final String OPTIONAL_SETTINGS = " allowed.may_tell=true allowed.max_open=11 allowed.conn_idle=12"
            + " allowed.streams_per_conn=13 allowed.cpu_us_per_s=14 allowed.cpu_us_per_request=1.5"
            + " guarantees.answer_slack=16 guarantees.drain_grace=17 guarantees.must_ask_in=18 me=2 dcs=a,b"
            + " skus=k,l layer=1 stages=s,t worth_by=work over_share_worth=0.05 goal.whole=0.4"
            + " goal.worst_window=0.3 goal.worst_class=0.2 goal.worst_tenant=0.1 prices.cross_zone=0.01"
            + " prices.waste=0.02 prices.connection=0.03 prices.handshake=0.04 prices.origin=0.05 prices.probe=0.06"
            + " prices.peer=0.07 prices.late_fail=0.08 prices.moves=0.09 prices.registry_mode=0.11 prices.fleet=0.12"
            + " stats.how=on_probe stats.names=cpu,waiting family_info.warm_keys=true"
            + " family_info.passes_deadline=true client_habits.marks_retry=true classes.0.stream=true"
            + " classes.0.aim_stretch=2.5 service_type=proxy resolution=19 tenants.count=1 tenants.0.name=x"
            + " tenants.0.fraction=0.6 tenants.0.quota_per_s=7.5 a.key.of.tomorrow=1";

    private static Balancer.Settings settings(String facts) {
        return Adapter.readFacts(new Fields(facts)).read(5);
    }

    @Test
    void everySettingIsRead() {
        Balancer.Settings s = settings(REQUIRED_SETTINGS + OPTIONAL_SETTINGS);
        assertEquals(new Balancer.Limits(true, false, true, true, 3, 11, true, 9), s.limits());
        assertEquals(new Balancer.Links(8, 12, 13), s.links());
        assertEquals(new Balancer.Cpu(14, 1.5), s.cpu());
        assertEquals(new Balancer.Rules(16, 17, 0, 0.2, 7, 3.5, 6), s.rules());
        assertEquals(18, settings((REQUIRED_SETTINGS + OPTIONAL_SETTINGS).replace("=pushed", "=on_request")).rules()
                .mustAskIn());
        assertEquals(new Balancer.Site(2, 4, "a", List.of("a", "b"), List.of("k", "l"), 1, List.of("s", "t")),
                s.site());
        assertEquals(new Balancer.Value(new Balancer.Goal(0.4, 0.3, 0.2, 0.1),
                new Balancer.Prices(0.01, 0.02, 0.03, 0.04, 0.05, 0.06, 0.07, 0.08, 0.09, 0.11, 0.12), 0.05, true),
                s.value());
        assertEquals(new Balancer.Habits(true, true, Balancer.Reports.ON_PROBE, List.of("cpu", "waiting"), true),
                s.habits());
        assertEquals(List.of(new Balancer.RequestClass("r", 1, 2.5, 2, 3, 0.25, Balancer.Repeat.KEYED,
                Balancer.Group.CELL, 5, true)), s.classes());
        assertEquals(List.of(new Balancer.Tenant("x", 0.6, 7.5)), s.tenants());
        assertEquals("proxy", s.service());
        assertEquals(19, s.resolution());
    }

    @Test
    void absentSettingsGetNeutralDefaults() {
        Balancer.Settings s = settings(REQUIRED_SETTINGS);
        assertEquals(new Balancer.Goal(1, 0, 0, 0), s.value().goal());
        assertEquals(0, s.value().prices().probe());
        assertEquals(1, s.value().overShareWorth());
        assertEquals(Balancer.Reports.OFF, s.habits().reports());
        assertFalse(s.habits().warmKeys() || s.limits().peers() || s.classes().get(0).stream());
        assertEquals(Long.MAX_VALUE, s.links().idle());
        assertTrue(s.tenants().isEmpty() && s.site().zones().isEmpty());
    }

    @ParameterizedTest
    @ValueSource(strings = {"allowed.max_open=many", "prices.probe=cheap", "stats.how=often", "me=4294967296",
        "family_info.warm_keys=perhaps", "classes.0.aim_stretch=NaN", "goal.whole=-"})
    void errorNamesUnreadableSetting(String pair) {
        Exception exception = assertThrows(IllegalArgumentException.class,
                () -> settings(REQUIRED_SETTINGS + " " + pair));
        assertTrue(exception.getMessage().startsWith(pair.substring(0, pair.indexOf('='))), exception.getMessage());
    }

    /** Answers a request with every action, and records what it was told. */
    private static final class Recorder implements Balancer {
        private Actions actions;
        private final List<Object> told = new ArrayList<>();

        @Override
        public void start(long now, Settings settings, Actions given) {
            actions = given;
        }

        @Override
        public void hosts(long now, ListForm form, List<Host> hosts) { }

        @Override
        public void request(long now, Request request) {
            told.add(request);
            actions.watch(true);
            actions.watch(false);
            actions.fetch();
            actions.closeIdle("h:1");
            actions.tell(3, new byte[] {1, (byte) 0xab});
            actions.tell(-1, new byte[0]);
            actions.log("two\nlines");
        }

        @Override
        public void streaming(long now, long id, int attempt) { }

        @Override
        public void resolved(long now, long id, int attempt, String address, Outcome outcome, long elapsed,
                boolean over, LoadReport report) { }

        @Override
        public void departed(long now, long id) { }

        @Override
        public void probed(long now, String address, Outcome outcome, long elapsed, LoadReport report) { }

        @Override
        public void told(long now, int peer, byte[] message) {
            told.add(List.of(peer, (int) message[0], message.length));
        }

        @Override
        public void timer(long now, String handle) { }
    }

    @Test
    void everyActionIsPrintedAndRequestsAreComplete() throws IOException {
        Recorder module = new Recorder();
        StringWriter out = new StringWriter();
        String input = "tick 1 1\ninit g/0 5 " + REQUIRED_SETTINGS + "\nfrom_peer g/0 2 0a0b\n"
                + "call g/0 7 r x 9 100 50 7\ncall g/0 8 r 0 - 100 50 0\nyour_turn\n";
        new Adapter(new BufferedReader(new StringReader(input)), out, new PrintStream(PrintStream.nullOutputStream()),
                () -> module).run();
        String actionLines = "watch g/0 1\nwatch g/0 0\npull g/0\nfree_links g/0 h:1\nnotify g/0 3 01ab\n"
                + "notify g/0 * -\nlog g/0 two lines\n";
        assertEquals(actionLines + actionLines + "end 1\n", out.toString());
        assertEquals(List.of(List.of(2, 10, 2), new Balancer.Request(7, "r", "x", 9L, 100, 50, true, true),
                new Balancer.Request(8, "r", null, null, 100, 0, false, false)), module.told);
    }

    @Test
    void unknownLoadReportValueIsIgnored() throws IOException {
        String input = "tick 1 1\ninit g/0 5 " + REQUIRED_SETTINGS
                + "\nresolved g/0 7 0 h shed 1 1 cpu:0.5,mood:fine\nyour_turn\n";
        StringWriter out = new StringWriter();
        new Adapter(new BufferedReader(new StringReader(input)), out, new PrintStream(PrintStream.nullOutputStream()),
                Recorder::new).run();
        assertEquals("end 1\n", out.toString());
    }
}
