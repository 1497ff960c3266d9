/* A preloaded library for one gateway process.

   It counts the bytes that the process reads from each client and the closes of descriptors that are not open, fails
   or shortens system calls, and moves the wall clock. All of it is steered through a file that is mapped into memory (struct control below, see preload.py).

   PRELOAD_CONTROL   path of the file
   PRELOAD_SEED      which of the calls fail

   cc -O1 -shared -fPIC -o system_calls.so system_calls.c -ldl */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum { DESCRIPTORS = 65536, PORTS = 65536, LONGEST_SHORT_TRANSFER = 40 };

struct control {
    uint64_t bytes_read[PORTS]; /* from the client of this port, since its connection was accepted */
    int64_t clock_step_s;       /* by which the wall clock is off */
    int64_t fail_percent;       /* of the calls that fail or come short */
    uint64_t bad_closes;        /* of descriptors that were closed before: somebody owns them twice */
};

static struct control *control;
static uint64_t random_state;
static unsigned short client_port[DESCRIPTORS];

#define REAL(name, ret, ...)              \
    static ret (*real)(__VA_ARGS__);      \
    if (!real) real = dlsym(RTLD_NEXT, #name)

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("PRELOAD_CONTROL"), *seed = getenv("PRELOAD_SEED");
    random_state = (seed ? strtoull(seed, 0, 10) : 1) * 0x9E3779B97F4A7C15ull + 1;
    int file = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (file < 0) return;
    void *map = mmap(0, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (map != MAP_FAILED) control = map;
    close(file);
}

static int fails(void) {
    if (!control || !control->fail_percent) return 0;
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return (int64_t)(random_state % 100) < control->fail_percent;
}

static int fail_with(const int *errors, size_t count) {
    errno = errors[(random_state >> 32) % count];
    return -1;
}
#define FAIL(...) fail_with((const int[]){__VA_ARGS__}, sizeof((const int[]){__VA_ARGS__}) / sizeof(int))

static int is_inet(int fd) {
    struct sockaddr_storage address;
    socklen_t size = sizeof address;
    int kept = errno;
    int yes = getsockname(fd, (void *)&address, &size) == 0 && address.ss_family == AF_INET;
    errno = kept;
    return yes;
}

static int accepted(int fd) {
    struct sockaddr_in peer;
    socklen_t size = sizeof peer;
    int kept = errno;
    if (fd >= 0 && fd < DESCRIPTORS && control && getpeername(fd, (void *)&peer, &size) == 0 &&
        peer.sin_family == AF_INET) {
        client_port[fd] = ntohs(peer.sin_port);
        control->bytes_read[client_port[fd]] = 0;
    }
    errno = kept;
    return fd;
}

static ssize_t counted(int fd, ssize_t got) {
    if (got > 0 && fd < DESCRIPTORS && control && client_port[fd]) control->bytes_read[client_port[fd]] += got;
    return got;
}

static size_t shorter(size_t size) {
    size_t most = size - 1 < LONGEST_SHORT_TRANSFER ? size - 1 : LONGEST_SHORT_TRANSFER;
    return 1 + (random_state >> 32) % most;
}

int accept4(int fd, struct sockaddr *a, socklen_t *l, int f) {
    REAL(accept4, int, int, struct sockaddr *, socklen_t *, int);
    if (fails()) return FAIL(ECONNABORTED, ENFILE, ENOBUFS, EINTR, EPROTO);
    return accepted(real(fd, a, l, f));
}
int accept(int fd, struct sockaddr *a, socklen_t *l) {
    REAL(accept, int, int, struct sockaddr *, socklen_t *);
    if (fails()) return FAIL(ECONNABORTED, ENFILE, ENOBUFS);
    return accepted(real(fd, a, l));
}
int socket(int d, int t, int p) {
    REAL(socket, int, int, int, int);
    if (d == AF_INET && fails()) return FAIL(ENFILE, ENOBUFS);
    int fd = real(d, t, p);
    if (fd >= 0 && fd < DESCRIPTORS) client_port[fd] = 0; /* it may have been closed past close() below */
    return fd;
}
int connect(int fd, const struct sockaddr *a, socklen_t l) {
    REAL(connect, int, int, const struct sockaddr *, socklen_t);
    if (a->sa_family == AF_INET && fails()) return FAIL(EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT);
    return real(fd, a, l);
}
ssize_t write(int fd, const void *b, size_t n) {
    REAL(write, ssize_t, int, const void *, size_t);
    return real(fd, b, n > 1 && is_inet(fd) && fails() ? shorter(n) : n);
}
ssize_t send(int fd, const void *b, size_t n, int f) {
    REAL(send, ssize_t, int, const void *, size_t, int);
    return real(fd, b, n > 1 && fails() ? shorter(n) : n, f);
}
ssize_t read(int fd, void *b, size_t n) {
    REAL(read, ssize_t, int, void *, size_t);
    return counted(fd, real(fd, b, n > 1 && is_inet(fd) && fails() ? shorter(n) : n));
}
ssize_t recv(int fd, void *b, size_t n, int f) {
    REAL(recv, ssize_t, int, void *, size_t, int);
    ssize_t got = real(fd, b, n > 1 && !(f & MSG_PEEK) && fails() ? shorter(n) : n, f);
    return f & MSG_PEEK ? got : counted(fd, got);
}
ssize_t recvmsg(int fd, struct msghdr *m, int f) {
    REAL(recvmsg, ssize_t, int, struct msghdr *, int);
    ssize_t got = real(fd, m, f);
    return f & MSG_PEEK ? got : counted(fd, got);
}
ssize_t readv(int fd, const struct iovec *v, int n) {
    REAL(readv, ssize_t, int, const struct iovec *, int);
    return counted(fd, real(fd, v, n));
}
int epoll_wait(int e, struct epoll_event *v, int m, int t) {
    REAL(epoll_wait, int, int, struct epoll_event *, int, int);
    if (fails()) return FAIL(EINTR);
    return real(e, v, m, t);
}
int epoll_pwait(int e, struct epoll_event *v, int m, int t, const sigset_t *s) {
    REAL(epoll_pwait, int, int, struct epoll_event *, int, int, const sigset_t *);
    if (fails()) return FAIL(EINTR);
    return real(e, v, m, t, s);
}
int close(int fd) {
    REAL(close, int, int);
    if (fd >= 0 && fd < DESCRIPTORS) client_port[fd] = 0;
    int failed = real(fd);
    if (failed && errno == EBADF && control) control->bad_closes++;
    return failed;
}
int clock_gettime(clockid_t clock, struct timespec *t) {
    REAL(clock_gettime, int, clockid_t, struct timespec *);
    int failed = real(clock, t);
    if (!failed && clock == CLOCK_REALTIME && control) t->tv_sec += control->clock_step_s;
    return failed;
}
int gettimeofday(struct timeval *restrict t, void *restrict zone) {
    REAL(gettimeofday, int, struct timeval *, void *);
    int failed = real(t, zone);
    if (!failed && control) t->tv_sec += control->clock_step_s;
    return failed;
}
