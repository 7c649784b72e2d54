#!/usr/bin/env python3
"""Summarises scheduling decisions from the JSON log lines of oriolefleetd.

  decision_summary.py [FILE...]     reads files or standard input; text before the first brace of a line is passed over

Prints who waited, what was stopped or refused and why, and which jobs met their objectives: by queue, organisation and reason, and
the placements of each second.
"""
import collections
import fileinput
import json


def events():
    for line in fileinput.input(errors='replace'):
        start = line.find('{"')
        if start < 0:
            continue
        try:
            yield json.loads(line[start:])
        except ValueError:
            continue


def table(title, columns, rows):
    print(f'\n{title}')
    for row in [columns, *rows]:
        print('  ' + '  '.join(str(cell).ljust(12) for cell in row).rstrip())


def main():
    stops = collections.defaultdict(lambda: [0, 0.0])
    waits = collections.defaultdict(list)
    deferred = collections.Counter()
    refused = collections.Counter()
    finished = collections.defaultdict(collections.Counter)
    organisation = {}
    queue = {}
    placements = collections.Counter()
    for event in events():
        kind = event.get('event')
        if kind == 'call_answered':
            organisation[event.get('request', '')] = event.get('organisation', '')
            if event.get('method') == 'POST' and event.get('status', 200) >= 400:
                refused[event['status'], event.get('reason', '')[:60]] += 1
        elif kind == 'job_loaded':
            queue[event.get('job', '')] = event.get('queue', '')
        elif kind == 'run_placed':
            placements[event.get('time_ms', 0) // 1000] += 1
            if event.get('attempt') == 1:
                waits[event['task'].split('.')[0]].append(event.get('waited_ms', 0))
        elif kind == 'stopping':
            entry = stops[event.get('reason', '')]
            entry[0] += 1
            entry[1] += event.get('loss_core_seconds', 0)
        elif kind == 'placement_deferred':
            deferred[event.get('reason', ''), event.get('within_guarantee')] += 1
        elif kind == 'job_finished':
            share = event.get('age_ms', 0) / max(1, event.get('objective_ms', 1))
            state = event.get('state')
            result = state if state != 'completed' else 'in time' if share <= 1 else 'late' if share <= 3 else 'later'
            key = f"{event.get('queue')} ({event.get('priority')})"
            finished[key][result] += 1
            finished['organisation ' + organisation.get(event.get('job'), '?')][result] += 1

    results = ['in time', 'late', 'later', 'failed', 'cancelled']
    table('finished jobs', ['of', *results], [[key, *(finished[key][result] for result in results)] for key in sorted(finished)])
    by_queue = collections.defaultdict(list)
    for job, times in waits.items():
        by_queue[queue.get(job, '?')].append(min(times))
    table('wait until the first start, ms', ['queue', 'jobs', 'median', 'longest'],
          [[name, len(times), sorted(times)[len(times) // 2], max(times)] for name, times in sorted(by_queue.items())])
    table('stopped runs', ['runs', 'core-seconds', 'reason'],
          [[count, round(loss), reason] for reason, (count, loss) in sorted(stops.items(), key=lambda entry: -entry[1][1])])
    table('deferred placements', ['count', 'guaranteed', 'reason'],
          [[count, guaranteed, reason] for (reason, guaranteed), count in deferred.most_common()])
    table('refused submissions', ['count', 'status', 'reason'], [[count, *key] for key, count in refused.most_common()])
    begin = min(placements, default=0)
    table('starts by second', ['second', 'starts'], [[second - begin, placements[second]] for second in sorted(placements)])


if __name__ == '__main__':
    main()
