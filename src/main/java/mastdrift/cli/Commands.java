package mastdrift.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import mastdrift.config.Configuration;
import mastdrift.config.ConfigurationReader;
import mastdrift.config.DistributionReader;
import mastdrift.config.Problems;
import mastdrift.events.Events;
import mastdrift.files.FileContents;
import mastdrift.files.StatusFile;
import mastdrift.lab.rig.ChaosPlan;
import mastdrift.logging.LogSetup;
import mastdrift.serve.ConfigDiff;
import mastdrift.serve.Service;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The root command {@code mastdrift} with its subcommands and their options. */
@Command(name = "mastdrift", description = "A gateway that spreads requests over pools of hosts.",
        subcommands = {Commands.Serve.class, Commands.Check.class, Commands.Plan.class, Commands.Demo.class, LoadCommand.class, LabCommand.class,
            ZonesCommand.class, FleetCommand.class, PeersCommand.class, ControlCommand.class,
            ConfigCommand.class, Commands.Adapter.class}, mixinStandardHelpOptions = true)
final class Commands implements Runnable {

    private static final int EXIT_REFUSED = 1;
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_GUARDED = 3;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    private Commands() { }

    /** Runs one command and returns its exit status. */
    static int run(String[] args, PrintStream out, PrintStream err) {
        return new CommandLine(new Commands()).setCaseInsensitiveEnumValuesAllowed(true).setOut(new PrintWriter(out, true, StandardCharsets.UTF_8))
                .setErr(new PrintWriter(err, true, StandardCharsets.UTF_8)).execute(args);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "expected a command");
    }

    /** Reads a configuration file. Prints its problems, and returns null if it can't be used. */
    private static Configuration readConfiguration(Path file, PrintWriter err) {
        ConfigurationReader.Result result = FileContents.read(file);
        result.problems().forEach(err::println);
        return result.configuration();
    }

    /** {@code serve}: runs a gateway until SIGTERM. */
    @Command(name = "serve", description = "Runs a gateway from a configuration file until SIGTERM.",
            mixinStandardHelpOptions = true)
    static final class Serve implements Callable<Integer> {

        private static final int STOP_TIMEOUT_SECONDS = 30;
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Option(names = "--config", required = true, paramLabel = "FILE", description = "the gateway's file")
        private Path config;

        @Option(names = "--log", paramLabel = "FORM", defaultValue = "text",
                description = "format of the log on standard output: text or json (${DEFAULT-VALUE})")
        private String logFormat;

        @Option(names = "--cold", description = "listen at once, without warming up the request path first")
        private boolean skipWarmUp;

        @Override
        public Integer call() throws InterruptedException {
            LogSetup log;
            Service service;
            try {
                log = new LogSetup(System.out, LogSetup.Format.parse(logFormat));
            } catch (IllegalArgumentException e) {
                spec.commandLine().getErr().println("--log: " + e.getMessage());
                return EXIT_USAGE;
            }
            try {
                service = Service.prepare(config, log.events(), !skipWarmUp);
            } catch (IllegalArgumentException e) {
                log.close();
                spec.commandLine().getErr().println(e.getMessage());
                return EXIT_REFUSED;
            }
            CountDownLatch stopped = new CountDownLatch(1);
            Thread stopper = new Thread(() -> stop(service, log, stopped));
            // before the first client connects: a SIGTERM in between would end the process with requests unanswered
            Runtime.getRuntime().addShutdownHook(stopper);
            try {
                service.open();
            } catch (IllegalArgumentException e) {
                if (removeShutdownHook(stopper)) {
                    log.close();
                    spec.commandLine().getErr().println(e.getMessage());
                    return EXIT_REFUSED;
                }
            }
            stopped.await();
            return 0;
        }

        private static void stop(Service service, LogSetup log, CountDownLatch stopped) {
            try {
                boolean allAnswered = service.stop(STOP_TIMEOUT_SECONDS);
                log.events().event(allAnswered ? Events.Level.INFO : Events.Level.WARN, "stopped",
                        allAnswered ? "stopped" : "stopped with requests unanswered");
                log.close();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            stopped.countDown();
            Runtime.getRuntime().halt(0);
        }

        /** Returns false if the process is being shut down already. */
        private static boolean removeShutdownHook(Thread hook) {
            try {
                return Runtime.getRuntime().removeShutdownHook(hook);
            } catch (IllegalStateException e) {
                return false;
            }
        }
    }

    /** {@code check}: validates the configuration file of a gateway or control machine. */
    @Command(name = "check", description = "Validates a gateway's file and the node lists that it includes, or a control machine's file.",
            mixinStandardHelpOptions = true)
    static final class Check implements Callable<Integer> {

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(paramLabel = "FILE", description = "the gateway's or control machine's file")
        private Path file;

        @Override
        public Integer call() {
            PrintWriter out = spec.commandLine().getOut();
            PrintWriter err = spec.commandLine().getErr();
            String controlText = new FileContents(file).text(FileContents.displayName(file), new Problems());
            if (controlText != null && DistributionReader.isControl(FileContents.displayName(file), controlText)) {
                DistributionReader.Result result = DistributionReader.readControl(FileContents.displayName(file), controlText);
                result.problems().forEach(err::println);
                if (result.settings() != null) {
                    out.println("control machine " + result.settings().name() + ": " + result.settings().role().name().toLowerCase(Locale.ROOT) + " in " + result.settings().zone()
                            + ", one of " + result.settings().machines().size() + ", epoch " + result.settings().epoch());
                }
                return result.settings() == null ? EXIT_REFUSED : 0;
            }
            Configuration configuration = readConfiguration(file, err);
            if (configuration == null) {
                return EXIT_REFUSED;
            }
            configuration.nodeListVersions().forEach((pool, version) -> out.println("pool " + pool + ": version " + version + ", "
                    + configuration.nodes().get(pool).size() + " nodes"));
            configuration.routes().forEach(route -> out.println("route " + route.name() + ": " + route.targets().stream()
                    .map(target -> target.pool() + " " + target.weight()).toList()
                    + (route.fallback() == null ? "" : ", else " + route.fallback())));
            List<String> refusals = ConfigDiff.refusalsAtStart(configuration);
            refusals.forEach(err::println);
            printStatus(configuration, out);
            return refusals.isEmpty() ? 0 : EXIT_GUARDED;
        }

        /** Prints what a running gateway wrote to its status file, if there is one. */
        private void printStatus(Configuration configuration, PrintWriter out) {
            String name = configuration.gateway().statusFile();
            Map<String, Object> status = name == null ? null : new StatusFile(file, name).read();
            if (status != null) {
                out.println("a gateway wrote at " + status.get("at") + ": in force " + status.get("in_force"));
                if (status.get("refused") instanceof List<?> refused) {
                    refused.forEach(line -> out.println("refused: " + line));
                }
            }
        }
    }

    /** {@code plan}: shows the effect of a configuration change without applying it. */
    @Command(name = "plan", description = "Shows what a change of the configuration would do, and whether a guard would refuse it.",
            mixinStandardHelpOptions = true)
    static final class Plan implements Callable<Integer> {

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(index = "0", paramLabel = "OLD", description = "the gateway's file that is in force")
        private Path oldFile;

        @Parameters(index = "1", paramLabel = "NEW", description = "the gateway's new file")
        private Path newFile;

        @Override
        public Integer call() {
            PrintWriter out = spec.commandLine().getOut();
            PrintWriter err = spec.commandLine().getErr();
            Configuration before = readConfiguration(oldFile, err);
            Configuration after = readConfiguration(newFile, err);
            if (before == null || after == null) {
                return EXIT_REFUSED;
            }
            ConfigDiff.Plan plan = ConfigDiff.plan(before, after);
            plan.lines().forEach(out::println);
            plan.refusals().forEach(err::println);
            out.println(plan.refusals().isEmpty() ? "would be taken" : "would be refused");
            return plan.refusals().isEmpty() ? 0 : EXIT_GUARDED;
        }
    }

    /** {@code demo}: a gateway with stand-in hosts and traffic, or several gateways as processes. */
    @Command(name = "demo", description = "Runs a gateway and four stand-in hosts on loopback, with some traffic.",
            mixinStandardHelpOptions = true)
    static final class Demo implements Callable<Integer> {

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Option(names = "--seconds", paramLabel = "N", defaultValue = "12",
                description = "duration of the traffic in seconds, 4 to 3600 (${DEFAULT-VALUE})")
        private int seconds;

        @Option(names = "--listen", paramLabel = "ADDRESS:PORT", defaultValue = "127.0.0.1:0",
                description = "where the gateway listens (a free port of 127.0.0.1)")
        private String listenAddress;

        @Option(names = "--gateways", paramLabel = "N", description = "runs N gateways as processes instead, 3 to 9, with one killed and one partitioned, for 40 s")
        private Integer gateways;

        @Override
        public Integer call() throws IOException, InterruptedException {
            if (gateways != null) {
                if (gateways < 3 || gateways > ChaosPlan.GATEWAYS_MOST) {
                    spec.commandLine().getErr().println("--gateways: expected 3 to " + ChaosPlan.GATEWAYS_MOST + ", found " + gateways);
                    return EXIT_USAGE;
                }
                return new FleetDemo(gateways, spec.commandLine().getOut()).run();
            }
            if (seconds < 4 || seconds > 3600) {
                spec.commandLine().getErr().println("--seconds: expected 4 to 3600, found " + seconds);
                return EXIT_USAGE;
            }
            return new DemoRun(listenAddress, seconds, spec.commandLine().getOut(), System.console() != null).run();
        }
    }

    /** {@code adapter}: the simulator's protocol on standard input and output. */
    @Command(name = "adapter", description = "Speaks the simulator's protocol on standard input and output.")
    static final class Adapter implements Callable<Integer> {

        @Override
        public Integer call() throws IOException {
            return mastdrift.wire.Main.run(new String[] {"adapter"}, System.in, System.out, System.err);
        }
    }
}
