package mastdrift.peers;

import java.util.List;

/** What gateways say to each other about who is there. Each message has some updates piggybacked, so that these need no messages of their own (SWIM, section 4.1). */
public sealed interface PeerMessage {

    /** Updates in a message other than {@link Sync}, at most. */
    int UPDATES_MOST = 16;

    /** Updates that came along. */
    List<Update> updates();

    /** Are you there? Answered by {@link Ack} with the same sequence number. */
    record Ping(long sequence, List<Update> updates) implements PeerMessage { }

    /** Yes; or, from one who was asked to ping another, that the other is. */
    record Ack(long sequence, List<Update> updates) implements PeerMessage { }

    /** From one who was asked to ping another: no ack yet, but it is there itself (Lifeguard, section IV.A). */
    record Nack(long sequence, List<Update> updates) implements PeerMessage { }

    /** Ping that gateway, and pass its ack on (SWIM's ping-req). */
    record PingRequest(long sequence, String target, List<Update> updates) implements PeerMessage { }

    /** All that the sender believes; {@code wanted}: the same is wanted in return. */
    record Sync(boolean wanted, List<Update> updates) implements PeerMessage { }
}
