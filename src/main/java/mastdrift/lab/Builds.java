package mastdrift.lab;

import java.io.IOException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import mastdrift.Balancer;
import mastdrift.lab.model.Policy;

/** Decision modules of other builds: their own classes from their own jar, behind the interface of this one. */
final class Builds {

    private static final String MODULE = "mastdrift.Balance";
    // Whatever the module is made of, but for its interface, which is this build's.
    private static final String PACKAGE = Balancer.class.getPackageName() + ".";
    private static final String SHARED = Balancer.class.getName();  // the interface, this build's for all

    private Builds() { }

    /** The module in a jar; throws IllegalArgumentException where there is none that has this build's interface. */
    static Policy of(Path jar) {
        if (!Files.isRegularFile(jar)) {
            throw new IllegalArgumentException("expected a jar, found no file " + jar);
        }
        try {
            ClassLoader loader = new Loader(jar.toUri().toURL());
            Class<?> module = loader.loadClass(MODULE);
            if (module.getClassLoader() != loader) {
                throw new IllegalArgumentException("expected " + MODULE + " in " + jar + ", found none");
            }
            module.getDeclaredConstructor().newInstance();
            return new Policy("build", () -> make(module), Policy.Breaks.NOTHING);
        } catch (IOException | ReflectiveOperationException | LinkageError | ClassCastException e) {
            throw new IllegalArgumentException("expected a module with this build's interface in " + jar + ", found " + e, e);
        }
    }

    private static Balancer make(Class<?> module) {
        try {
            return (Balancer) module.getDeclaredConstructor().newInstance();
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Looks for the module's own classes in the jar alone. Open for as long as the program runs: its modules load classes as
        they meet what needs them. */
    private static final class Loader extends URLClassLoader {

        Loader(URL jar) {
            super(new URL[] {jar}, Builds.class.getClassLoader());
        }

        /** Whether a class is one that the module is split into: all of its package but the interface. */
        private static boolean isModules(String name) {
            boolean inPackage = name.startsWith(PACKAGE) && name.indexOf('.', PACKAGE.length()) < 0;
            return inPackage && !name.equals(SHARED) && !name.startsWith(SHARED + "$");
        }

        @Override
        protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
            if (!isModules(name)) {
                return super.loadClass(name, resolve);
            }
            synchronized (getClassLoadingLock(name)) {
                Class<?> found = findLoadedClass(name);
                return found != null ? found : findClass(name);
            }
        }
    }
}
