package mastdrift.measure;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import mastdrift.lab.model.PeerFault;
import mastdrift.lab.model.PeerFault.Kind;
import mastdrift.lab.model.PeerRun;
import mastdrift.lab.model.PeerWorld;
import mastdrift.lab.model.PeerWorld.Plan;
import mastdrift.peers.Member;
import mastdrift.peers.MemberState;
import mastdrift.peers.MembershipSettings;
import mastdrift.peers.PeerMessage;
import mastdrift.peers.Update;
import mastdrift.peers.edge.PeerMessageCodec;

/** What membership costs and how soon it knows, among 100 and 1,000 gateways, by the model. Arguments: seeds of each figure (3), and sizes (then only what each costs there). */
public final class MembershipMeasurement {

    private static final long SECOND = 1_000_000;
    private static final int FRAME = 4 + 2 + 16;  // length, type and kind, signature

    private MembershipMeasurement() { }

    private static PeerRun play(int gateways, long seconds, long spread, long seed, PeerFault... faults) {
        return PeerWorld.play(new Plan(gateways, seconds * SECOND, 1_000, List.of(faults), MembershipSettings.DEFAULT, spread, false), seed);
    }

    /** Prints lines of a table. */
    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 3;
        Update update = new Update(new Member("gateway-bilbao-17", 1_767_225_600_000_000L, "bilbao", "0.1.0", "0123456789ab"), 3, MemberState.ALIVE, "gateway-bilbao-17");
        double empty = PeerMessageCodec.encode(new PeerMessage.Ping(1_000_000, List.of())).length + FRAME;
        double each = PeerMessageCodec.encode(new PeerMessage.Ping(1_000_000, List.of(update))).length + FRAME - empty;
        int[] sizes = args.length > 1 ? Arrays.stream(args).skip(1).mapToInt(Integer::parseInt).toArray() : new int[] {100, 1_000};
        for (int gateways : sizes) {
            for (long seed = 1; seed <= seeds; seed++) {
                PeerRun begin = play(gateways, 30, 2 * SECOND, seed);
                ThreadMXBean own = ManagementFactory.getThreadMXBean();
                long began = own.getCurrentThreadCpuTime();
                PeerRun run = play(gateways, 60, 2 * SECOND, seed);
                double micros = (own.getCurrentThreadCpuTime() - began) / 1e3;
                double messages = (run.messages() - begin.messages()) / 30.0 / gateways;
                double updates = (run.updates() - begin.updates()) / 30.0 / gateways;
                System.out.printf(Locale.ROOT, "%d gateways, seed %d: %.1f messages a second each, %.0f bytes a second each, %.0f us of the model's processor time a second each%n", gateways, seed,
                        messages, messages * empty + updates * each, micros / 60 / gateways);
            }
            if (args.length < 2) {
                deaths(gateways, seeds);
            }
        }
        if (args.length > 1) {
            return;
        }
        for (long seed = 1; seed <= seeds; seed++) {
            List<PeerFault> faults = new ArrayList<>(List.of(new PeerFault(Kind.LOSS, 0, 3_600 * SECOND, 0, -1, 0.05)));
            for (int i = 0; i < 10; i++) {
                faults.add(new PeerFault(Kind.STARVE, 10 * SECOND, 3_600 * SECOND, i * 10, -1, 0.1));
            }
            System.out.printf("100 gateways, an hour with 5%% loss, ten starved to a tenth, seed %d: %d false deaths%n", seed,
                    play(100, 3_600, 2 * SECOND, seed, faults.toArray(new PeerFault[0])).falseDeaths());
        }
        for (int seconds = 2; seconds <= 32; seconds *= 2) {
            System.out.printf("200 starts at once: after %d s %d views are not whole%n", seconds, play(200, seconds, 0, 1).apart().size());
        }
    }

    private static void deaths(int gateways, int seeds) {
        List<Long> known = new ArrayList<>();
        for (long seed = 1; seed <= 4L * seeds; seed++) {
            known.addAll(play(gateways, 40, 2 * SECOND, seed, new PeerFault(Kind.KILL, 10 * SECOND, 35 * SECOND, 3, -1, 0)).deaths());
        }
        double[] sorted = known.stream().mapToDouble(at -> at < 0 ? Double.POSITIVE_INFINITY : at / 1e6).sorted().toArray();
        System.out.printf(Locale.ROOT, "%d gateways, a death, %d seeds: known by half within %.2f s, by 99%% within %.2f s, by all within %.2f s%n", gateways, 4 * seeds,
                sorted[sorted.length / 2], sorted[sorted.length * 99 / 100], Arrays.stream(sorted).max().orElse(0));
    }
}
