#include "evacuation.h"

#include <stdlib.h>

#include <uthash.h>

#include "xmalloc.h"

struct zone {
    struct str name;
    int64_t begun_ms;
    int64_t lapse_at_ms; ///< 0: its record is not missing
    UT_hash_handle hh;
};

struct evacuation {
    struct zone *zones;
};

struct evacuation *
evacuation_new(void)
{
    return xcalloc(1, sizeof(struct evacuation));
}

static void
remove_zone(struct evacuation *evacuation, struct zone *zone)
{
    HASH_DEL(evacuation->zones, zone);
    free((char *)zone->name.data);
    free(zone);
}

void
evacuation_free(struct evacuation *evacuation)
{
    struct zone *zone, *next;

    if (evacuation == NULL) {
        return;
    }
    HASH_ITER(hh, evacuation->zones, zone, next)
    {
        remove_zone(evacuation, zone);
    }
    free(evacuation);
}

static struct zone *
find_zone(const struct evacuation *evacuation, struct str name)
{
    struct zone *zone;

    HASH_FIND(hh, evacuation->zones, name.data, name.len, zone);
    return zone;
}

bool
evacuation_begin(struct evacuation *evacuation, struct str name,
                 int64_t now_ms)
{
    struct zone *zone = find_zone(evacuation, name);

    if (zone != NULL) {
        zone->lapse_at_ms = 0;
        return false;
    }
    zone = xcalloc(1, sizeof(*zone));
    zone->name = str_copy(name);
    zone->begun_ms = now_ms;
    HASH_ADD_KEYPTR(hh, evacuation->zones, zone->name.data, zone->name.len,
                    zone);
    return true;
}

int64_t
evacuation_end(struct evacuation *evacuation, struct str name, int64_t now_ms)
{
    struct zone *zone = find_zone(evacuation, name);
    int64_t begun_ms;

    if (zone == NULL) {
        return -1;
    }
    begun_ms = zone->begun_ms;
    remove_zone(evacuation, zone);
    return now_ms - begun_ms;
}

bool
evacuation_lapse(struct evacuation *evacuation, struct str name, int64_t at_ms)
{
    struct zone *zone = find_zone(evacuation, name);

    if (zone == NULL) {
        return false;
    }
    zone->lapse_at_ms = at_ms;
    return true;
}

struct str
evacuation_lapsed(const struct evacuation *evacuation, int64_t now_ms)
{
    const struct zone *zone = evacuation->zones;

    while (zone != NULL &&
           (zone->lapse_at_ms == 0 || now_ms < zone->lapse_at_ms)) {
        zone = zone->hh.next;
    }
    return zone != NULL ? zone->name : (struct str){0};
}

bool
evacuation_covers(const struct evacuation *evacuation, struct str zone)
{
    return evacuation->zones != NULL && find_zone(evacuation, zone) != NULL;
}

size_t
evacuation_count(const struct evacuation *evacuation)
{
    return HASH_COUNT(evacuation->zones);
}
