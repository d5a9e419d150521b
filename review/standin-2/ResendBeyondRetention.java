/** Responses are kept for less than a request may take: is a packet that comes again meanwhile a new request? */
public final class ResendBeyondRetention {

    private ResendBeyondRetention() { }

    public static void main(String[] arguments) {
        CaseRun.play(arguments, ResendBeyondRetention::play);
    }

    private static boolean play(CaseRun run) throws Exception {
        SlowedServer.Result result = SlowedServer.play(run, new RadiusGateway.Settings("4s", "4s", "4s", "60s", "2s"), new SlowedServer.Times(400, 9, 4_000, 2_500));
        boolean held = true;
        for (var each : result.runs().entrySet()) {
            boolean once = each.getValue().size() == 1;
            run.log("case: " + each.getKey() + " ran at " + each.getValue() + (once ? "" : ": more than once"));
            held &= once;
        }
        return held;
    }
}
