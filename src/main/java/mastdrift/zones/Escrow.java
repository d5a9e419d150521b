package mastdrift.zones;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Parts of budgets that gateways give one another, without agreement: who has too much takes a part off its own and then says that it
 * gave it; who reads that adds it, once. Words hold sums, so that one which is lost, late or read twice does no harm, and the parts of all
 * together are never above the amount (escrow: O'Neil, The Escrow Transactional Method, 1986; Balegas et al., Extending Eventually Consistent
 * Cloud Databases for Enforcing Numeric Invariants, 2015).
 */
public final class Escrow {

    /** Gateways that are heard. */
    public static final int PEERS_MOST = 256;
    /** Milliseconds after which a word's wishes count no more; its grants count as long as their window. */
    static final long HEARD = 10_000;
    // Of its own part, what a giver keeps beyond what it expects to need.
    private static final double KEPT = 0.1;
    // Of what is too much, given at a time: the next word may tell otherwise.
    private static final double AT_ONCE = 0.5;
    // Of a window, the first part, in which nobody knows yet what it needs.
    private static final double TOO_SOON = 0.05;

    /** What one gateway says of one budget: the window that it is in, what it expects to lack, and what it gave to whom in that window. */
    public record Says(long begin, double wants, Map<String, Double> given) { }

    /** What one gateway says; {@code at} in milliseconds since 1970, by budget. */
    public record Word(String gateway, long at, Map<String, Says> budgets) { }

    private final String self;
    private final Map<String, Word> words = new LinkedHashMap<>();

    /** By its own name, which is unlike the others'. */
    Escrow(String self) {
        this.self = self;
    }

    /** A gateway's word; its own and those beyond the bound are passed over. Returns whether it was taken. */
    boolean heard(Word word) {
        Word known = words.get(word.gateway);
        if (word.gateway.equals(self) || known == null && words.size() >= PEERS_MOST || known != null && known.at > word.at) {
            return false;
        }
        words.put(word.gateway, word);
        return true;
    }

    /** Takes what was given to it, and gives what it has too much of. */
    void settle(long millis, Collection<Account> accounts) {
        for (Account account : accounts) {
            String name = account.limit().name();
            double wanted = 0;
            for (Word word : words.values()) {
                Says says = word.budgets.get(name);
                if (says != null) {
                    account.take(word.gateway, says.begin, says.given.getOrDefault(self, 0.0));
                    wanted += wants(millis, word, account);
                }
            }
            long length = account.end() - account.begin();
            double surplus = -account.wants() - KEPT * account.granted();
            if (wanted <= 0 || surplus <= 0 || millis - account.begin() < TOO_SOON * length) {
                continue;
            }
            double given = Math.min(wanted, AT_ONCE * Math.min(surplus, account.left()));
            for (Word word : words.values()) {
                double part = given * wants(millis, word, account) / wanted;
                if (part > 0) {
                    account.give(word.gateway, part);
                }
            }
        }
    }

    private static double wants(long millis, Word word, Account account) {
        Says says = word.budgets.get(account.limit().name());
        boolean counts = says != null && says.begin == account.begin() && Math.abs(millis - word.at) <= HEARD;
        return counts ? Math.max(0, says.wants) : 0;
    }

    /** Its own word. */
    Word word(long millis, Collection<Account> accounts) {
        Map<String, Says> budgets = new TreeMap<>();
        accounts.forEach(account -> budgets.put(account.limit().name(),
                new Says(account.begin(), account.wants(), Map.copyOf(account.given()))));
        return new Word(self, millis, budgets);
    }
}
