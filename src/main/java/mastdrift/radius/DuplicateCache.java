package mastdrift.radius;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/**
 * Tells resends from new requests, and keeps answers for them (RFC 5080, 2.2.2). A request is met by its source, code,
 * identifier and Request Authenticator; accounting requests by their effect too, since a charger that counts the delay up
 * sends a new packet with the same effect.
 *
 * <p>The common case, a new request, costs two look-ups in hash maps. Entries lie in the order of their beginning, so that
 * the eldest are the first to expire; a client address at its part loses its own eldest, so that a flood of new identifiers
 * takes nothing from the others.
 */
public final class DuplicateCache {

    /** Where a request came from. */
    public record Source(byte[] address, int port) {

        @Override
        public boolean equals(Object other) {
            return other instanceof Source source && port == source.port && Arrays.equals(address, source.address);
        }

        @Override
        public int hashCode() {
            return 31 * Arrays.hashCode(address) + port;
        }
    }

    private record RequestIdentity(Source source, Code code, int identifier, byte[] authenticator) {

        @Override
        public boolean equals(Object other) {
            return other instanceof RequestIdentity identity && identifier == identity.identifier && code == identity.code
                    && source.equals(identity.source) && Arrays.equals(authenticator, identity.authenticator);
        }

        @Override
        public int hashCode() {
            return 31 * (31 * source.hashCode() + identifier) + Arrays.hashCode(authenticator);
        }
    }

    /** A packet that waits for the answer to a request, its own or one of the same effect. */
    public record WaitingPacket(Source source, Packet request) { }

    /** A request under way or answered. */
    public static final class Entry {
        private final long until;
        private final AccountingEvent effect;
        private final ClientEntries client;
        private final List<RequestIdentity> identities = new ArrayList<>(1);
        private final Map<RequestIdentity, byte[]> answers = new HashMap<>(2);
        private final List<WaitingPacket> waiting = new ArrayList<>(1);
        private boolean over;
        private int bytes;

        private Entry(long until, AccountingEvent effect, ClientEntries client) {
            this.until = until;
            this.effect = effect;
            this.client = client;
        }

        /** Those that wait for the answer, each to be answered once: the first is the one that was passed on. */
        public List<WaitingPacket> waiting() {
            return List.copyOf(waiting);
        }
    }

    /** What one client address holds, its eldest first. */
    private static final class ClientEntries {
        private final Source address;
        private final LinkedHashSet<Entry> entries = new LinkedHashSet<>();

        ClientEntries(Source address) {
            this.address = address;
        }
    }

    /** What to do with a packet. */
    public enum Disposition {
        /** New: pass it on, with the entry that came with this word. */
        PASS_ON,
        /** Joined to one that is out: nothing to do. */
        JOINED,
        /** Answered before: send the kept bytes. */
        KEPT,
        /** Another packet of its effect was answered: answer it likewise, without a server, and tell {@link #answered}. */
        REPEATED
    }

    /** The word on one packet; the bytes are there for KEPT alone. */
    public record LookupResult(Disposition what, Entry entry, byte[] answer) { }

    private static final int WAITING_MOST = 16;

    private final long kept;
    private final int most;
    private final int clientMost;
    private final int bytesMost;
    private final Map<RequestIdentity, Entry> byIdentity = new HashMap<>();
    private final Map<AccountingEvent, Entry> byEffect = new HashMap<>();
    private final Map<Source, ClientEntries> clients = new HashMap<>();
    private final LinkedHashSet<Entry> entries = new LinkedHashSet<>();
    private int bytes;

    /** Keeps an entry for {@code kept} microseconds from its beginning, {@code most} of them, a quarter of these for one
        address, and {@code bytesMost} bytes of answers. */
    public DuplicateCache(long kept, int most, int bytesMost) {
        this.kept = kept;
        this.most = most;
        this.bytesMost = bytesMost;
        clientMost = Math.max(1, most / 4);
    }

    /** A packet has come, and its authenticators are right. */
    public LookupResult met(long now, Source source, Packet request) {
        expire(now);
        RequestIdentity identity = new RequestIdentity(source, request.code(), request.identifier(), request.authenticator());
        Entry same = byIdentity.get(identity);
        if (same != null) {
            byte[] answer = same.answers.get(identity);
            return answer != null ? new LookupResult(Disposition.KEPT, same, answer) : new LookupResult(Disposition.JOINED, same, null);
        }
        AccountingEvent effect = request.code() == Code.ACCOUNTING_REQUEST ? AccountingEvent.of(source.address, request) : null;
        Entry like = effect == null ? null : byEffect.get(effect);
        if (like != null) {
            join(like, identity, source, request);
            return new LookupResult(like.over ? Disposition.REPEATED : Disposition.JOINED, like, null);
        }
        Entry entry = begin(now, source, effect);
        join(entry, identity, source, request);
        return new LookupResult(Disposition.PASS_ON, entry, null);
    }

    private Entry begin(long now, Source source, AccountingEvent effect) {
        Source address = new Source(source.address, 0);
        ClientEntries own = clients.get(address);
        if (own != null && own.entries.size() >= clientMost) {
            remove(own.entries.iterator().next());
        }
        if (entries.size() >= most) {
            remove(entries.iterator().next());
        }
        ClientEntries client = clients.computeIfAbsent(address, ClientEntries::new);
        Entry entry = new Entry(now + kept, effect, client);
        entries.add(entry);
        client.entries.add(entry);
        if (effect != null) {
            byEffect.put(effect, entry);
        }
        return entry;
    }

    /** Beyond a bound a further identity of one effect is forgotten at once: its resend joins again. */
    private void join(Entry entry, RequestIdentity identity, Source source, Packet request) {
        if (entry.waiting.size() < WAITING_MOST) {
            entry.identities.add(identity);
            entry.waiting.add(new WaitingPacket(source, request));
            byIdentity.put(identity, entry);
        }
    }

    /** The bytes that went to one of those that waited: they are kept for its resends. */
    public void answered(Entry entry, WaitingPacket to, byte[] answer) {
        entry.over = true;
        if (!entries.contains(entry)) {
            return;  // it had to go while it was out
        }
        RequestIdentity identity = new RequestIdentity(to.source, to.request.code(), to.request.identifier(), to.request.authenticator());
        if (entry.answers.putIfAbsent(identity, answer) == null) {
            entry.bytes += answer.length;
            bytes += answer.length;
        }
        while (bytes > bytesMost) {
            remove(entries.iterator().next());
        }
    }

    /** It ended with no answer: a resend is a new try. */
    public void unanswered(Entry entry) {
        entry.over = true;
        if (entries.contains(entry)) {
            remove(entry);
        }
    }

    private void expire(long now) {
        for (Iterator<Entry> eldest = entries.iterator(); eldest.hasNext(); eldest = entries.iterator()) {
            Entry entry = eldest.next();
            if (entry.until > now) {
                return;
            }
            remove(entry);
        }
    }

    private void remove(Entry entry) {
        entries.remove(entry);
        entry.client.entries.remove(entry);
        if (entry.client.entries.isEmpty()) {
            clients.remove(entry.client.address);
        }
        entry.identities.forEach(identity -> byIdentity.remove(identity, entry));
        if (entry.effect != null) {
            byEffect.remove(entry.effect, entry);
        }
        bytes -= entry.bytes;
    }

    /** Entries that are held. */
    public int size() {
        return entries.size();
    }

    /** Bytes of answers that are kept. */
    public int bytes() {
        return bytes;
    }
}
