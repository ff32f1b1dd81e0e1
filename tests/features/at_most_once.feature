Feature: A call runs at most once, and "not run" is always true

  The service counts its runs by booking reference. The scenarios check this
  count.

  Background:
    Given a fleet whose service is behind a proxy

  Scenario Outline: The entry dies <moment>
    The entry is killed during a booking, after it has stored the claim on the
    platform, and the customer's connection breaks. The customer repeats the
    booking at another entry, which must not run it a second time.
    When the entry is killed <moment> of a booking with a key
    And the booking is repeated with the same key at another entry
    Then the service ran the booking <runs> times
    And the repeat is answered with <answer>

    Examples:
      | moment                      | runs | answer          |
      | between claim and dispatch  | 0    | outcome_unknown |
      | between dispatch and answer | 1    | outcome_unknown |
      | after the answer            | 1    | the first run   |

  Scenario: The entry is frozen between claim and dispatch
    The entry is suspended until the call's deadline has passed, and then
    resumes. Only then does it receive the platform's answer to the claim,
    which must not start the call any more.
    When the entry is frozen past the call's deadline before the claim is answered
    Then the booking is answered with deadline_passed and not_run
    And the service ran the booking 0 times

  Scenario Outline: The link to the service is cut <where>
    The link to the service breaks during a booking. Once a byte may have left
    the entry, the service may have run the booking, and a second attempt could
    book twice.
    When the link to the service is cut <where>
    Then the booking is answered with <code> and <outcome>
    And the service ran the booking <runs> times

    Examples:
      | where              | code            | outcome | runs |
      | before the request | no_target       | not_run | 0    |
      | inside the request | outcome_unknown | unknown | 0    |
      | after the request  | outcome_unknown | unknown | 1    |
      | inside the answer  | outcome_unknown | unknown | 1    |

  Scenario: The platform's answer to the claim is lost
    The platform stores the claim of a booking, but its answer never arrives.
    If the entry took this for a failed write, it would refuse the booking or
    claim it twice.
    When the platform's answer to the claim is lost
    Then the booking is answered by the service
    And the service ran the booking 1 times

  Scenario: A claim outlives a refusal
    The platform stores the claim and then becomes unavailable, so the customer
    is told "not run". Later the customer repeats the booking with the same key
    at another entry, which finds the claim of a run that never happened.
    When the platform's answer to the claim is lost in an outage
    Then the booking is answered with platform_away and not_run
    When the platform is available again and the booking is repeated until answered
    Then the service ran the booking 1 times

  Scenario: The same key comes to three entries at once
    A customer's client sends the same booking to all entries in parallel.
    When the same booking is sent to all entries at once
    Then the service ran the booking 1 times
    And every answer is the first run's or says that the booking is still running

  Scenario: The platform is unavailable throughout
    A booking with a ticket still runs, because a ticket needs no claim on the
    platform. A booking with a caller's own key is refused at once.
    When the platform is unavailable and one booking has a ticket and one a key
    Then the booking with the ticket ran once, and the other was refused as not run

  Scenario: A ticket is used at three entries at once
    A customer's client sends a call with the same ticket to all entries in
    parallel.
    When a booking with a ticket is sent to all entries at once
    Then the service ran the booking 1 times
    And every answer is the first run's or says that the booking is still running

  Scenario: The entry that minted a ticket dies
    The customer's connection breaks while the call runs. The customer uses the
    ticket again at another entry, which can't know whether the call ran.
    When the entry is killed while a booking with a ticket runs
    And the booking is repeated with the same key at another entry
    Then the repeat is answered with entry_gone
    And the service ran the booking 1 times

  Scenario: The platform is unavailable and an entry is killed at the same time
    When the platform becomes unavailable and the entry that minted a ticket is killed
    Then a repeat of its booking is unknown, and a booking with a new ticket runs once
