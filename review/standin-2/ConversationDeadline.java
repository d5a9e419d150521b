/** The class of conversations has a longer deadline than that of cards: does it hold? */
public final class ConversationDeadline {

    private ConversationDeadline() { }

    public static void main(String[] arguments) {
        CaseRun.play(arguments, run -> UnsafeConversation.play(run, new RadiusGateway.Settings("2s", "10s", "4s", "60s", "30s"), new UnsafeConversation.Times(500, 9, 10_000, 3_000)));
    }
}
