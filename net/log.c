#include "log.h"

#include <limits.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <log4c.h>

#define LINE_BYTES 1024
#define BUFFER_BYTES 65536
/// Rate limit under load: three lines each for 1,000 requests a second.
#define LINES_PER_S_MAX 3000

static struct {
    log4c_category_t *category;
    log4c_appender_t *appender;
    enum log_level level;
    int fd;
    char buffer[BUFFER_BYTES];
    size_t buffered;
    unsigned long dropped;
    time_t second; ///< the second that `lines` counts
    unsigned lines;
} state;

static const int priorities[] = {
    [LOG_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
    [LOG_LEVEL_WARNING] = LOG4C_PRIORITY_WARN,
    [LOG_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
    [LOG_LEVEL_DEBUG] = LOG4C_PRIORITY_DEBUG,
};

/// log_line() has formatted the message already.
static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
    (void)layout;
    return event->evt_msg;
}

/// Writes without blocking: a pipe that polls as writable accepts PIPE_BUF
/// bytes.
static void
write_buffer(void)
{
    size_t done = 0;

    while (done < state.buffered) {
        struct pollfd ready = {.fd = state.fd, .events = POLLOUT};
        size_t len = state.buffered - done;
        ssize_t written;

        if (poll(&ready, 1, 0) != 1 || !(ready.revents & POLLOUT)) {
            break;
        }
        written = write(state.fd, state.buffer + done,
                        len < PIPE_BUF ? len : PIPE_BUF);
        if (written <= 0) {
            break;
        }
        done += (size_t)written;
    }
    memmove(state.buffer, state.buffer + done, state.buffered - done);
    state.buffered -= done;
}

static int
append_line(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
    const char *line = event->evt_rendered_msg;
    size_t len = strlen(line);

    (void)appender;
    if (state.buffered + len > BUFFER_BYTES) {
        write_buffer();
    }
    if (state.buffered + len > BUFFER_BYTES) {
        state.dropped++;
        return -1;
    }
    memcpy(state.buffer + state.buffered, line, len);
    state.buffered += len;
    return 0;
}

static const log4c_layout_type_t layout_type = {
    .name = "key-value",
    .format = format_line,
};

static const log4c_appender_type_t appender_type = {
    .name = "buffered",
    .append = append_line,
};

void
log_start(enum log_level level, int fd)
{
    log4c_layout_t *layout;

    log4c_init();
    log4c_layout_type_set(&layout_type);
    log4c_appender_type_set(&appender_type);
    layout = log4c_layout_get("dandelionvalve");
    log4c_layout_set_type(layout, &layout_type);
    state.appender = log4c_appender_get("dandelionvalve");
    log4c_appender_set_type(state.appender, &appender_type);
    log4c_appender_set_layout(state.appender, layout);
    state.category = log4c_category_get("dandelionvalve");
    log4c_category_set_appender(state.category, state.appender);
    log4c_category_set_additivity(state.category, 0);
    log4c_category_set_priority(state.category, priorities[level]);
    state.level = level;
    state.fd = fd;
    state.buffered = 0;
}

void
log_stop(void)
{
    if (state.category == NULL) {
        return;
    }
    log_flush();
    log4c_fini();
    state.category = NULL;
}

void
log_flush(void)
{
    unsigned long dropped = state.dropped;

    if (state.category == NULL) {
        return;
    }
    write_buffer();
    if (dropped > 0 && state.buffered < BUFFER_BYTES / 2) {
        state.dropped = 0;
        log_line(LOG_LEVEL_WARNING, "log", "event=lines-dropped lines=%lu",
                 dropped);
    }
}

/// Counts a line; false if this second's rate limit is reached.
static bool
within_rate(time_t second)
{
    if (second != state.second) {
        state.second = second;
        state.lines = 0;
    }
    if (state.lines < LINES_PER_S_MAX) {
        state.lines++;
        return true;
    }
    state.dropped++;
    return false;
}

bool
log_parse_level(const char *name, enum log_level *level)
{
    static const char *const names[] = {
        [LOG_LEVEL_ERROR] = "error",
        [LOG_LEVEL_WARNING] = "warning",
        [LOG_LEVEL_INFO] = "info",
        [LOG_LEVEL_DEBUG] = "debug",
    };

    for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        if (!strcmp(name, names[i])) {
            *level = (enum log_level)i;
            return true;
        }
    }
    return false;
}

bool
log_enabled(enum log_level level)
{
    return state.category != NULL && level <= state.level;
}

/// Replaces line breaks, so that text of callers and peers cannot forge a log
/// line.
static void
end_line(char *line, size_t len)
{
    if (len > LINE_BYTES - 2) {
        len = LINE_BYTES - 2;
    }
    for (size_t i = 0; i < len; i++) {
        if (line[i] == '\n' || line[i] == '\r') {
            line[i] = ' ';
        }
    }
    line[len] = '\n';
    line[len + 1] = '\0';
}

void
log_line(enum log_level level, const char *module, const char *fmt, ...)
{
    char line[LINE_BYTES];
    log4c_logging_event_t event = {.evt_msg = line};
    struct timespec now;
    va_list ap;
    int len;

    if (!log_enabled(level)) {
        return;
    }
    clock_gettime(CLOCK_REALTIME, &now);
    if (!within_rate(now.tv_sec)) {
        return;
    }
    len = snprintf(line, sizeof(line), "ts=%lld.%03ld level=%s module=%s ",
                   (long long)now.tv_sec, now.tv_nsec / 1000000,
                   log4c_priority_to_string(priorities[level]), module);
    va_start(ap, fmt);
    len += vsnprintf(line + len, sizeof(line) - (size_t)len, fmt, ap);
    va_end(ap);
    end_line(line, (size_t)len);
    // The line is passed to the appender directly, since it is formatted
    // already.
    event.evt_category = log4c_category_get_name(state.category);
    event.evt_priority = priorities[level];
    log4c_appender_append(state.appender, &event);
    if (level <= LOG_LEVEL_WARNING) {
        write_buffer();
    }
}
