package mastdrift.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import mastdrift.events.Events;
import mastdrift.logging.LogSetup;
import mastdrift.serve.ControlMachine;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code control}: runs a control machine as a process until SIGTERM. */
@Command(name = "control", description = "Runs a control machine, which distributes configuration to gateways, until SIGTERM.", mixinStandardHelpOptions = true)
final class ControlCommand implements Callable<Integer> {

    private static final int EXIT_REFUSED = 1;
    private static final int EXIT_USAGE = 2;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(names = "--config", required = true, paramLabel = "FILE", description = "the control machine's file")
    private Path config;

    @Option(names = "--log", paramLabel = "FORM", defaultValue = "text", description = "format of the log on standard output: text or json (${DEFAULT-VALUE})")
    private String logFormat;

    @Override
    public Integer call() throws InterruptedException {
        LogSetup log;
        try {
            log = new LogSetup(System.out, LogSetup.Format.parse(logFormat));
        } catch (IllegalArgumentException e) {
            spec.commandLine().getErr().println("--log: " + e.getMessage());
            return EXIT_USAGE;
        }
        // A Runnable, not a ControlMachine: a lambda that captured one would have the type in its signature, and so
        // have it loaded with every command.
        Runnable closeMachine;
        try {
            closeMachine = ControlMachine.start(config, log.events())::close;
        } catch (IllegalArgumentException e) {
            log.close();
            spec.commandLine().getErr().println(e.getMessage());
            return EXIT_REFUSED;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            closeMachine.run();
            log.events().event(Events.Level.INFO, "stopped", "stopped");
            log.close();
            Runtime.getRuntime().halt(0);
        }));
        new CountDownLatch(1).await();
        return 0;
    }
}
