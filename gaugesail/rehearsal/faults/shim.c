/*
 * Fault injection for a gateway process, loaded with LD_PRELOAD.
 *
 * The controlling process maps the file that GAUGESAIL_FAULTS names and writes to it at any time; this library maps
 * the same file and applies its contents.  It steps the wall clock, and lets library calls fail as their manual
 * pages document.  The monotonic clocks are never changed.  See shim.py for the layout of the file.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum call { ACCEPT, SOCKET, CONNECT, RECV, SEND, WAIT, WRITE, SYNC, RENAME, OPEN, UNLINK, CALLS };
enum { SHORT = -1 }; /* in place of an errno: the call reads or writes one byte */

struct fault {
    int64_t error; /* errno, or SHORT */
    int64_t left;  /* how many further calls fail */
};

struct control {
    int64_t wall_step_ns;
    int64_t hits; /* the number of calls that were made to fail so far */
    struct fault fault[CALLS];
};

static struct control idle_control;
static struct control *control = &idle_control;

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("GAUGESAIL_FAULTS");
    if (path == NULL)
        return;
    int fd = open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0)
        abort();
    void *found = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (found == MAP_FAILED)
        abort();
    control = found;
}

/* The function of the C library, looked up once. */
#define REAL(name)                                     \
    (*__extension__({                                  \
        static __typeof__(&name) found;                \
        if (found == NULL)                             \
            found = (__typeof__(&name))dlsym(RTLD_NEXT, #name); \
        &found;                                        \
    }))

/* The errno that this call must fail with, or SHORT; 0 if it must not fail. */
static int64_t drawn(enum call call) {
    struct fault *fault = &control->fault[call];
    if (__atomic_load_n(&fault->left, __ATOMIC_RELAXED) <= 0)
        return 0;
    if (__atomic_fetch_sub(&fault->left, 1, __ATOMIC_RELAXED) <= 0)
        return 0;
    __atomic_fetch_add(&control->hits, 1, __ATOMIC_RELAXED);
    return __atomic_load_n(&fault->error, __ATOMIC_RELAXED);
}

#define FAIL_IF_DRAWN(call)        \
    do {                           \
        int64_t error = drawn(call); \
        if (error > 0) {           \
            errno = (int)error;    \
            return -1;             \
        }                          \
    } while (0)

/* Whether fd is a regular file other than a standard stream. */
static int is_file(int fd) {
    struct stat found;
    int kept = errno;
    int file = fd > 2 && fstat(fd, &found) == 0 && S_ISREG(found.st_mode);
    errno = kept;
    return file;
}

/* ---- the wall clock ---- */

static void step(struct timespec *at) {
    int64_t ns = at->tv_nsec + __atomic_load_n(&control->wall_step_ns, __ATOMIC_RELAXED);
    int64_t seconds = ns / 1000000000;
    ns -= seconds * 1000000000;
    if (ns < 0) {
        ns += 1000000000;
        seconds -= 1;
    }
    at->tv_sec += seconds;
    at->tv_nsec = ns;
}

int clock_gettime(clockid_t clock, struct timespec *at) {
    int done = REAL(clock_gettime)(clock, at);
    if (done == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE))
        step(at);
    return done;
}

int gettimeofday(struct timeval *restrict at, void *restrict zone) {
    (void)zone;
    struct timespec found;
    clock_gettime(CLOCK_REALTIME, &found);
    at->tv_sec = found.tv_sec;
    at->tv_usec = found.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *at) {
    struct timespec found;
    clock_gettime(CLOCK_REALTIME, &found);
    if (at != NULL)
        *at = found.tv_sec;
    return found.tv_sec;
}

/* ---- sockets ---- */

int accept4(int fd, struct sockaddr *restrict from, socklen_t *restrict size, int flags) {
    FAIL_IF_DRAWN(ACCEPT);
    return REAL(accept4)(fd, from, size, flags);
}

int socket(int family, int type, int protocol) {
    FAIL_IF_DRAWN(SOCKET);
    return REAL(socket)(family, type, protocol);
}

int connect(int fd, const struct sockaddr *to, socklen_t size) {
    FAIL_IF_DRAWN(CONNECT);
    return REAL(connect)(fd, to, size);
}

ssize_t recv(int fd, void *data, size_t size, int flags) {
    int64_t error = drawn(RECV);
    if (error > 0) {
        errno = (int)error;
        return -1;
    }
    return REAL(recv)(fd, data, error == SHORT && size > 1 ? 1 : size, flags);
}

ssize_t send(int fd, const void *data, size_t size, int flags) {
    int64_t error = drawn(SEND);
    if (error > 0) {
        errno = (int)error;
        return -1;
    }
    return REAL(send)(fd, data, error == SHORT && size > 1 ? 1 : size, flags);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    FAIL_IF_DRAWN(WAIT);
    return REAL(epoll_wait)(fd, events, most, timeout);
}

/* ---- files ---- */

ssize_t write(int fd, const void *data, size_t size) {
    if (is_file(fd))
        FAIL_IF_DRAWN(WRITE);
    return REAL(write)(fd, data, size);
}

ssize_t pwrite(int fd, const void *data, size_t size, off_t at) {
    FAIL_IF_DRAWN(WRITE);
    return REAL(pwrite)(fd, data, size, at);
}

ssize_t pwrite64(int fd, const void *data, size_t size, off64_t at) {
    FAIL_IF_DRAWN(WRITE);
    return REAL(pwrite64)(fd, data, size, at);
}

int fsync(int fd) {
    FAIL_IF_DRAWN(SYNC);
    return REAL(fsync)(fd);
}

int fdatasync(int fd) {
    FAIL_IF_DRAWN(SYNC);
    return REAL(fdatasync)(fd);
}

int rename(const char *from, const char *to) {
    FAIL_IF_DRAWN(RENAME);
    return REAL(rename)(from, to);
}

int unlink(const char *path) {
    FAIL_IF_DRAWN(UNLINK);
    return REAL(unlink)(path);
}

static int opens_to_write(int flags) { return (flags & O_ACCMODE) != O_RDONLY && (flags & O_CREAT); }

#define OPEN_WITH(function, ...)               \
    do {                                       \
        mode_t mode = 0;                       \
        if (flags & (O_CREAT | O_TMPFILE)) {   \
            va_list rest;                      \
            va_start(rest, flags);             \
            mode = va_arg(rest, mode_t);       \
            va_end(rest);                      \
        }                                      \
        if (opens_to_write(flags))             \
            FAIL_IF_DRAWN(OPEN);               \
        return REAL(function)(__VA_ARGS__, flags, mode); \
    } while (0)

int open(const char *path, int flags, ...) { OPEN_WITH(open, path); }
int open64(const char *path, int flags, ...) { OPEN_WITH(open64, path); }
int openat(int folder, const char *path, int flags, ...) { OPEN_WITH(openat, folder, path); }
int openat64(int folder, const char *path, int flags, ...) { OPEN_WITH(openat64, folder, path); }
