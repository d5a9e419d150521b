package mastdrift.peers;

import java.util.List;

/** What gateways say to each other about who is there. Each word carries some rumors, so that news needs no words of its own (SWIM, section 4.1). */
public sealed interface PeerMessage {

    /** Rumors in a word other than {@link Sync}, at most. */
    int RUMORS_MOST = 16;

    /** News that came along. */
    List<Update> rumors();

    /** Are you there? Answered by {@link Ack} with the same number. */
    record Ping(long number, List<Update> rumors) implements PeerMessage { }

    /** Yes; or, from one who was asked to ask, that the other is. */
    record Ack(long number, List<Update> rumors) implements PeerMessage { }

    /** From one who was asked to ask: no answer yet, but it is there itself (Lifeguard, section IV.A). */
    record Nack(long number, List<Update> rumors) implements PeerMessage { }

    /** Ask that gateway whether it is there, and pass its answer on. */
    record Ask(long number, String target, List<Update> rumors) implements PeerMessage { }

    /** All that the sender believes; {@code wanted}: the same is wanted in return. */
    record Sync(boolean wanted, List<Update> rumors) implements PeerMessage { }
}
