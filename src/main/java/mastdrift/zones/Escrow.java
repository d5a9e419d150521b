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
    public static final int MAX_PEERS = 256;
    /** Milliseconds after which a word's wishes count no more; its grants count as long as their window. */
    static final long SHORTFALL_TTL_MILLIS = 10_000;
    // Of its own part, what a giver keeps beyond what it expects to need.
    private static final double KEPT_GRANT_FRACTION = 0.1;
    // Of what is too much, given at a time: the next word may tell otherwise.
    private static final double MAX_TRANSFER_FRACTION = 0.5;
    // Of a window, the first part, in which nobody knows yet what it needs.
    private static final double MIN_ELAPSED_WINDOW_FRACTION = 0.05;

    /** What one gateway says of one budget: the window that it is in, what it expects to lack, and what it gave to whom in that window. */
    public record BudgetAnnouncement(long windowStartMillis, double expectedShortfall, Map<String, Double> transferredOut) { }

    /** What one gateway says; {@code at} in milliseconds since 1970, by budget. */
    public record Announcement(String gateway, long sentAtMillis, Map<String, BudgetAnnouncement> budgets) { }

    private final String ownName;
    private final Map<String, Announcement> announcements = new LinkedHashMap<>();

    /** By its own name, which is unlike the others'. */
    Escrow(String ownName) {
        this.ownName = ownName;
    }

    /** A gateway's word; its own and those beyond the bound are passed over. Returns whether it was taken. */
    boolean receive(Announcement announcement) {
        Announcement known = announcements.get(announcement.gateway);
        if (announcement.gateway.equals(ownName) || known == null && announcements.size() >= MAX_PEERS || known != null && known.sentAtMillis > announcement.sentAtMillis) {
            return false;
        }
        announcements.put(announcement.gateway, announcement);
        return true;
    }

    /** Takes what was given to it, and gives what it has too much of. */
    void rebalance(long wallMillis, Collection<CrossingAccount> accounts) {
        for (CrossingAccount account : accounts) {
            String name = account.budget().name();
            double totalShortfall = 0;
            for (Announcement announcement : announcements.values()) {
                BudgetAnnouncement budget = announcement.budgets.get(name);
                if (budget != null) {
                    account.receiveTransfer(announcement.gateway, budget.windowStartMillis, budget.transferredOut.getOrDefault(ownName, 0.0));
                    totalShortfall += shortfall(wallMillis, announcement, account);
                }
            }
            long windowMillis = account.windowEndMillis() - account.windowStartMillis();
            double surplus = -account.expectedShortfall() - KEPT_GRANT_FRACTION * account.granted();
            if (totalShortfall <= 0 || surplus <= 0 || wallMillis - account.windowStartMillis() < MIN_ELAPSED_WINDOW_FRACTION * windowMillis) {
                continue;
            }
            double transferred = Math.min(totalShortfall, MAX_TRANSFER_FRACTION * Math.min(surplus, account.remaining()));
            for (Announcement announcement : announcements.values()) {
                double amount = transferred * shortfall(wallMillis, announcement, account) / totalShortfall;
                if (amount > 0) {
                    account.transferOut(announcement.gateway, amount);
                }
            }
        }
    }

    private static double shortfall(long wallMillis, Announcement announcement, CrossingAccount account) {
        BudgetAnnouncement budget = announcement.budgets.get(account.budget().name());
        boolean valid = budget != null && budget.windowStartMillis == account.windowStartMillis() && Math.abs(wallMillis - announcement.sentAtMillis) <= SHORTFALL_TTL_MILLIS;
        return valid ? Math.max(0, budget.expectedShortfall) : 0;
    }

    /** Its own word. */
    Announcement announcement(long wallMillis, Collection<CrossingAccount> accounts) {
        Map<String, BudgetAnnouncement> budgets = new TreeMap<>();
        accounts.forEach(account -> budgets.put(account.budget().name(),
                new BudgetAnnouncement(account.windowStartMillis(), account.expectedShortfall(), Map.copyOf(account.transferredOut()))));
        return new Announcement(ownName, wallMillis, budgets);
    }
}
