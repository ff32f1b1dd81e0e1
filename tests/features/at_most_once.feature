Feature: "Not run" is true, and at most once

  The service's own count by booking reference is the judge.

  Background:
    Given a fleet whose service is behind a proxy

  Scenario Outline: The entry dies <moment>
    A customer books and the connection breaks. The entry was killed with the
    claim on the platform. The customer repeats the booking elsewhere.
    When the entry is killed <moment> of a booking with a key
    And the booking is repeated with the same key at another entry
    Then the service ran it <runs> times
    And the repeat is answered with <answer>

    Examples:
      | moment                      | runs | answer          |
      | between claim and dispatch  | 0    | outcome_unknown |
      | between dispatch and answer | 1    | outcome_unknown |
      | after the answer            | 1    | the first run   |

  Scenario: The entry is frozen between claim and dispatch
    A customer waits, the entry's host hangs past every time-out and wakes. The
    claim's answer then lets the call go, long after it was given up.
    When the entry is frozen past the call's deadline before it learns of its claim
    Then the booking is answered with deadline_passed and not_run
    And the service ran it 0 times

  Scenario Outline: The link to the service is cut <where>
    A customer books and the link to the service breaks. If a byte may have
    left, the service may have run it, and a second try could book twice.
    When the link to the service is cut <where>
    Then the booking is answered with <code> and <outcome>
    And the service ran it <runs> times

    Examples:
      | where              | code            | outcome | runs |
      | before the request | no_target       | not_run | 0    |
      | inside the request | outcome_unknown | unknown | 0    |
      | after the request  | outcome_unknown | unknown | 1    |
      | inside the answer  | outcome_unknown | unknown | 1    |

  Scenario: The platform's answer to the claim is lost
    A customer books; the claim is written but the platform's answer never
    comes. Taken for a failure, the booking would be refused or claimed twice.
    When the platform loses its answer to the claim
    Then the booking is answered by the service
    And the service ran it 1 times

  Scenario: A claim outlives a refusal
    A customer is told "not run" because the platform went away after it took
    the claim. The customer comes back with the same key when all is well, to
    another entry, which finds the claim of a run that never was.
    When the platform loses its answer to the claim and goes away
    Then the booking is answered with platform_away and not_run
    When the platform is back and the booking is repeated until it is answered
    Then the service ran it 1 times

  Scenario: The same key comes to three entries at once
    A customer's client repeats a booking in parallel over all entries.
    When the same booking comes to all entries at once
    Then the service ran it 1 times
    And every answer is the first run's, or says that it still runs

  Scenario: The platform is away throughout
    Bookings under tickets go on, and a caller's own key is refused at once.
    When the platform is away and a booking comes under a ticket and one by key
    Then the ticket's booking ran once, and the other was refused as not run

  Scenario: A ticket is used at three entries at once
    A customer's client sends the ticket's call everywhere at the same time.
    When a ticket's booking comes to all entries at once
    Then the service ran it 1 times
    And every answer is the first run's, or says that it still runs

  Scenario: The entry that minted a ticket dies
    The customer's connection breaks while the call runs, and the ticket is
    used again at another entry, which can't know whether the call ran.
    When the entry is killed while a ticket's booking runs
    And the booking is repeated with the same key at another entry
    Then the repeat is answered with entry_gone
    And the service ran it 1 times

  Scenario: The platform is away and an entry is killed at once
    When the platform goes away and the entry that minted a ticket is killed
    Then a repeat of its booking is unknown, and a new ticket's booking runs once
