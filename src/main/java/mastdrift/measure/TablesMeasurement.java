package mastdrift.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import mastdrift.routing.Match;
import mastdrift.routing.OrderedRoute;
import mastdrift.routing.Route;
import mastdrift.routing.Route.Target;
import mastdrift.routing.RouteTable;
import mastdrift.routing.RouteCriteria;
import mastdrift.standin.GatewayFiles;
import org.HdrHistogram.Histogram;

/**
 * Big tables of routes: time to build one, to change it by one route, its heap, and look-ups beside those of a plain list, in turn:
 * {@code TablesMeasurement [RUNS]}, 3 unless it says; each takes about 10 s.
 * {@code TablesMeasurement FOLDER ROUTES POOLS NODES} writes a set of files of that size, for {@code check} and {@code serve}.
 */
public final class TablesMeasurement {

    /** Those on both sides of where the index begins; a hundredth, a tenth, all of the target, and twice that. */
    private static final int[] SIZES = {16, 17, 280, 2_800, 28_000, 56_000};
    private static final int ROUTES_A_POOL = 35;
    private static final int TENANTS_A_ROUTE = 6;
    private static final int REQUESTS = 20_000;
    private static final int WARM = 100_000;
    private static final int CHANGES = 2_000;
    private static final int BUILDS = 5;
    private static final long LINEAR_NANOS = 700_000_000L;
    private static final List<String> CLASSES = List.of("session-read", "session-start", "session-stop");
    private static final List<String> ZONES = List.of("bilbao", "oviedo", "gijon");

    private TablesMeasurement() { }

    /** A way to find a route. */
    private interface Finder {
        Route find(RouteCriteria request);
    }

    /** Prints a line for each size and run, or writes files. */
    public static void main(String[] args) throws InterruptedException, IOException {
        if (args.length == 4) {
            write(new GatewayFiles(Files.createDirectories(Path.of(args[0]))), Integer.parseInt(args[1]), Integer.parseInt(args[2]),
                    Integer.parseInt(args[3]));
            return;
        }
        int runs = args.length > 0 ? Integer.parseInt(args[0]) : 3;
        System.out.printf("reading the clock itself, part of each look-up: p50 %d ns%n", clock());
        for (int run = 1; run <= runs; run++) {
            for (int size : SIZES) {
                size(run, size);
            }
        }
    }

    private static void write(GatewayFiles files, int routes, int pools, int nodes) throws IOException {
        List<String> pieces = new ArrayList<>(List.of(GatewayFiles.head("127.0.0.1:0", "gateways = 4100\n"), GatewayFiles.CLASSES));
        for (int i = 0; i < pools; i++) {
            List<String> list = new ArrayList<>();
            for (int node = i; node < nodes; node += pools) {
                list.add(GatewayFiles.node("n-" + node, "127.2." + node / 200 % 200 + "." + (node % 200 + 1) + ":" + (9_000 + node / 40_000),
                        list.size() % 2 == 0 ? "bilbao" : "oviedo", ""));
            }
            files.save("p" + i + ".toml", GatewayFiles.list(list));
            pieces.add(GatewayFiles.pool("p" + i, ""));
        }
        for (int i = 0; i < routes; i++) {
            pieces.add("[[route]]\nname = \"r" + i + "\"\npath = \"/p" + i % pools + "/r" + i + "\"\npools = { p" + i % pools + " = 1 }\n\n");
        }
        files.gateway(pieces.toArray(new String[0]));
    }

    private static long clock() {
        Histogram nanos = new Histogram(3);
        for (int i = 0; i < 1_000_000; i++) {
            long since = System.nanoTime();
            nanos.recordValue(System.nanoTime() - since);
        }
        return nanos.getValueAtPercentile(50);
    }

    private static void size(int run, int size) throws InterruptedException {
        SplittableRandom random = new SplittableRandom(run);
        long empty = Heap.used();
        List<Route> routes = routes(random, size);
        long listed = Heap.used();
        long since = System.nanoTime();
        RouteTable table = new RouteTable(routes);
        long built = System.nanoTime() - since;
        long indexed = Heap.used();
        List<RouteCriteria> requests = requests(random, routes);
        Histogram index = lookUps(table::firstMatch, requests, Long.MAX_VALUE);
        Histogram linear = lookUps(request -> linear(routes, request), requests, LINEAR_NANOS);
        System.out.printf(Locale.ROOT, "run %d, %d routes: built in %.1f ms, heap a route %.0f bytes and %.0f of the index; look-up mean %.0f, p50 %d, "
                + "p99 %d ns; one by one mean %.0f, p50 %d, p99 %d ns (%d look-ups), %.2f times the index's mean%n", run, size, built / 1e6,
                (listed - empty) / (double) size, (indexed - listed) / (double) size, index.getMean(), index.getValueAtPercentile(50),
                index.getValueAtPercentile(99), linear.getMean(), linear.getValueAtPercentile(50), linear.getValueAtPercentile(99),
                linear.getTotalCount(), linear.getMean() / index.getMean());
        if (!routes.equals(table.routes())) {
            throw new IllegalStateException("another table");
        }
        changes(run, routes, table);
    }

    /** A route gets another path, in its place: the table changed by that, and another one made of the whole list. */
    private static void changes(int run, List<Route> routes, RouteTable table) {
        SplittableRandom random = new SplittableRandom(run);
        List<OrderedRoute> ordered = OrderedRoute.fromList(routes);
        Histogram parts = new Histogram(3);
        RouteTable next = table;
        for (int i = 0; i < CHANGES; i++) {
            int at = random.nextInt(ordered.size());
            OrderedRoute old = ordered.get(at);
            Match match = old.route().match();
            OrderedRoute changed = new OrderedRoute.SimpleOrderedRoute(at, new Route(old.route().name(), new Match(match.className(), match.tenant(), match.pathPrefix() + "-" + i,
                    match.headerName(), match.headerValue(), match.zone()), old.route().targets(), null));
            long since = System.nanoTime();
            next = next.withChanges(List.of(old), List.of(changed));
            parts.recordValue(System.nanoTime() - since);
            ordered.set(at, changed);
        }
        List<Route> after = ordered.stream().map(OrderedRoute::route).toList();
        Histogram anew = new Histogram(3);
        for (int i = 0; i < BUILDS; i++) {
            long since = System.nanoTime();
            RouteTable made = new RouteTable(after);
            anew.recordValue(System.nanoTime() - since);
            if (!made.routes().equals(next.routes())) {
                throw new IllegalStateException("another table");
            }
        }
        System.out.printf(Locale.ROOT, "  one of them changed: mean %.1f, p50 %.1f, p99 %.1f us (%d changes); all made anew: p50 %.0f us (%d times), %.0f times the mean%n", parts.getMean() / 1e3,
                parts.getValueAtPercentile(50) / 1e3, parts.getValueAtPercentile(99) / 1e3, CHANGES, anew.getValueAtPercentile(50) / 1e3, BUILDS,
                anew.getValueAtPercentile(50) / parts.getMean());
    }

    /** Of ten routes six are by path alone, one by class and path, two by tenant and path, one by path and a header. */
    private static List<Route> routes(SplittableRandom random, int size) {
        List<Route> routes = new ArrayList<>(size);
        int pools = size / ROUTES_A_POOL + 1;
        for (int i = 0; i < size; i++) {
            int kind = i % 10;
            String pool = "service-" + random.nextInt(pools);
            String path = "/" + pool + "/v" + (1 + random.nextInt(3)) + "/resource-" + i;
            routes.add(new Route("route-" + i, new Match(kind == 6 ? CLASSES.get(i % 3) : null,
                    kind == 7 || kind == 8 ? "tenant-" + random.nextInt(TENANTS_A_ROUTE * size) : null, path,
                    kind == 9 ? "X-Canary" : null, kind == 9 ? "1" : null, null), List.of(new Target(pool, 1)), null));
        }
        return routes;
    }

    /** Nine in ten are what a random route is for, and half of these have further segments; the tenth is for none. */
    private static List<RouteCriteria> requests(SplittableRandom random, List<Route> routes) {
        List<RouteCriteria> requests = new ArrayList<>(REQUESTS);
        for (int i = 0; i < REQUESTS; i++) {
            Match match = routes.get(random.nextInt(routes.size())).match();
            String path = match.pathPrefix() + (random.nextBoolean() ? "/items/" + random.nextInt(1_000_000) : "");
            List<String> canary = match.headerValue() == null ? List.of() : List.of(match.headerValue());
            requests.add(new RouteCriteria(match.className() != null ? match.className() : CLASSES.get(random.nextInt(3)),
                    match.tenant() != null ? match.tenant() : "tenant-" + random.nextInt(TENANTS_A_ROUTE * routes.size()),
                    random.nextInt(10) > 0 ? path : path.replace("/resource-", "/none-"), ZONES.get(random.nextInt(3)), i,
                    name -> canary));
        }
        return requests;
    }

    /** What the index took the place of. */
    private static Route linear(List<Route> routes, RouteCriteria request) {
        for (Route route : routes) {
            if (route.match().matches(request)) {
                return route;
            }
        }
        return null;
    }

    /** Times of one look-up for each request in turn, in nanoseconds, after some that aren't counted; as many as fit the time. */
    private static Histogram lookUps(Finder finder, List<RouteCriteria> requests, long mostNanos) {
        long begun = System.nanoTime();
        int found = 0;
        for (int i = 0; i < WARM && System.nanoTime() - begun < mostNanos / 4; i++) {
            found += finder.find(requests.get(i % REQUESTS)) == null ? 0 : 1;
        }
        Histogram nanos = new Histogram(3);
        begun = System.nanoTime();
        for (int i = 0; i < REQUESTS * 5 && System.nanoTime() - begun < mostNanos; i++) {
            long since = System.nanoTime();
            Route route = finder.find(requests.get(i % REQUESTS));
            nanos.recordValue(System.nanoTime() - since);
            found += route == null ? 0 : 1;
        }
        if (found == 0) {
            throw new IllegalStateException("no route was found");
        }
        return nanos;
    }
}
