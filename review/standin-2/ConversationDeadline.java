/**
 * The class of conversations has a longer deadline than that of cards, and a slowed server answers within it: do its
 * answers reach the chargers?
 */
public final class ConversationDeadline {

    private static final long DEADLINE_MILLIS = 10_000;
    /** STANDING: up to half a second after its time an answer only earns nothing; PROTOCOL: limits are 50 ms longer. */
    private static final long SLACK_MILLIS = 550;

    private ConversationDeadline() { }

    public static void main(String[] arguments) {
        CaseRun.play(arguments, ConversationDeadline::play);
    }

    private static boolean play(CaseRun run) throws Exception {
        SlowedServer.Result result = SlowedServer.play(run, new RadiusGateway.Settings("2s", DEADLINE_MILLIS + "ms", "4s", "60s", "30s"),
                new SlowedServer.Times(500, 9, DEADLINE_MILLIS + SLACK_MILLIS));
        boolean held = true;
        for (String request : result.servedAtNanos().keySet()) {
            long servedAfterMillis = (result.servedAtNanos().get(request) - result.sentAtNanos().get(request)) / 1_000_000;
            if (servedAfterMillis > DEADLINE_MILLIS) {
                continue;  // the gateway could not answer in time
            }
            boolean answered = result.answered().contains(request);
            run.log("case: " + request + " was run at " + result.runs().get(request) + " and answered after " + servedAfterMillis + " ms, its charger " + (answered ? "was answered" : "was never answered"));
            held &= answered;
        }
        return held;
    }
}
