/** Responses are kept for less than a request may take: is a packet that comes again meanwhile a new request? */
public final class ResendBeyondRetention {

    private ResendBeyondRetention() { }

    public static void main(String[] arguments) {
        CaseRun.play(arguments, run -> UnsafeConversation.play(run, new RadiusGateway.Settings("4s", "4s", "4s", "60s", "2s"), new UnsafeConversation.Times(400, 9, 4_000, 2_500)));
    }
}
